package dunlinhitch.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.endpoints.Endpoint.Protocol;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * What the membership makes of claims. Two cells, each shard in one of them; sources "a" and "b" of
 * one rank, "c" below.
 */
class EndpointRegistryTest {
  private static final long S = 1_000_000;
  private static final long FAR = 10_000 * S;
  private final EndpointRegistry membership = fresh();

  /** What the decisions hold, by the changes alone. */
  private final Map<String, Endpoint> roster = new TreeMap<>();

  private final List<EndpointChange> seen = new ArrayList<>();

  private static EndpointRegistry fresh() {
    EndpointRegistry m =
        new EndpointRegistry(
            new EndpointRegistrySettings(2, 1, 10 * S, 20 * S, S / 2, 4 * S, 60 * S, 50), 0);
    m.named("a", 1, false);
    m.named("b", 1, false);
    m.named("c", 2, false);
    return m;
  }

  private static Endpoint at(String name, int port, int cell, long startedUs) {
    return new Endpoint(
        name, "127.0.0.1", port, 0, cell, ServerState.READY, 1, startedUs, Protocol.FRAMES);
  }

  private static EndpointClaim claim(Endpoint entry, long atUs) {
    return new EndpointClaim(
        entry.name() + "/" + entry.port() + "/" + entry.startedUs(), entry, atUs, FAR);
  }

  private void take(List<EndpointChange> changes) {
    for (EndpointChange c : changes) {
      seen.add(c);
      if (c.told()) {
        roster.put(c.entry().name(), c.entry());
      }
    }
  }

  private void says(String source, long atUs, EndpointClaim... claims) {
    take(membership.said(atUs, source, false, List.of(claims)));
  }

  private ServerState state(String name) {
    return roster.get(name).state();
  }

  private EndpointStatus status(String name) {
    return membership.rows().stream()
        .filter(r -> r.store().equals(name))
        .findFirst()
        .orElseThrow()
        .status();
  }

  @Test
  void goneAndBackWithinASecondIsTheSameStore() {
    take(membership.said(S, "a", true, List.of(claim(at("s", 1, 0, 0), S))));
    says("a", 20 * S, EndpointClaim.back("s/1/0", 20 * S));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    says("a", 20 * S + S / 2, claim(at("s", 1, 0, 0), 20 * S + S / 2));
    assertEquals(ServerState.READY, state("s"));
    assertEquals(0, roster.get("s").startedUs(), "no cold start");
  }

  @Test
  void anotherTargetOrStartIsARestart() {
    take(
        membership.said(
            S, "a", true, List.of(claim(at("s", 1, 0, 0), S), claim(at("t", 2, 0, 5), S))));
    says(
        "a",
        20 * S,
        EndpointClaim.back("s/1/0", 20 * S),
        claim(at("s", 9, 0, 0), 20 * S),
        EndpointClaim.back("t/2/5", 20 * S),
        claim(at("t", 2, 0, 7 * S), 20 * S));
    assertEquals(20 * S, roster.get("s").startedUs());
    assertEquals(7 * S, roster.get("t").startedUs());
    says("a", 21 * S, claim(at("u", 3, 0, 0), 21 * S));
    assertEquals(21 * S, roster.get("u").startedUs(), "what turns up under our eyes is new");
  }

  @Test
  void whatStaysAwayIsGoneAndComesBackAsAnother() {
    take(membership.said(S, "a", true, List.of(claim(at("s", 1, 0, 0), S))));
    says("a", 2 * S, EndpointClaim.back("s/1/0", 2 * S));
    take(membership.passed(11 * S));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    take(membership.passed(12 * S + S / 10));
    assertEquals(ServerState.GONE, state("s"));
    says("a", 80 * S, claim(at("s", 1, 0, 0), 80 * S));
    assertEquals(80 * S, roster.get("s").startedUs());
  }

  @Test
  void disputesGetNothingUnlessABlockWouldBeBare() {
    says(
        "a", S, claim(at("s", 1, 0, 0), S), claim(at("t", 2, 0, 0), S), claim(at("u", 3, 1, 0), S));
    says("b", 2 * S, claim(at("s", 9, 0, 0), 2 * S), claim(at("u", 8, 1, 0), 2 * S));
    assertEquals(ServerState.WITHDRAWN, state("s"), "t holds the block");
    assertEquals(ServerState.READY, state("u"), "nobody else holds it");
    assertEquals(3, roster.get("u").port(), "the older claim stands");
    assertEquals(EndpointStatus.STANDING_IN, status("u"));
    says("a", 3 * S, claim(at("v", 4, 1, 0), 3 * S));
    assertEquals(ServerState.WITHDRAWN, state("u"), "now another does");
    says("b", 4 * S, EndpointClaim.back("s/9/0", 4 * S));
    assertEquals(ServerState.READY, state("s"), "settled");
  }

  @Test
  void whoMayNotHoldTheShardNeverStandsIn() {
    says("a", S, claim(at("s", 1, 0, 0), S));
    says("b", 2 * S, claim(at("s", 1, 1, 0), 2 * S));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    assertEquals(StatusReason.CELL_CONFLICT, seen.get(seen.size() - 1).reason());
  }

  @Test
  void twoIdsAtOneAddress() {
    says("a", S, claim(at("s", 1, 0, 0), S), claim(at("t", 5, 0, 0), S));
    says("a", 2 * S, claim(at("u", 1, 0, 0), 2 * S));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    assertEquals(ServerState.WITHDRAWN, state("u"));
    says("a", 3 * S, EndpointClaim.back("u/1/0", 3 * S));
    assertEquals(ServerState.READY, state("s"));
  }

  @Test
  void theHigherRankIsBelievedAndItsWithdrawalObeyed() {
    says("c", S, claim(at("s", 9, 0, 0), S));
    says("a", 2 * S, claim(at("s", 1, 0, 0), 2 * S));
    assertEquals(1, roster.get("s").port());
    says("a", 3 * S, EndpointClaim.back("s/1/0", 3 * S));
    assertEquals(
        ServerState.WITHDRAWN, state("s"), "what the lower one said before does not count");
    says("c", 4 * S, claim(at("s", 9, 0, 7), 4 * S));
    assertEquals(ServerState.READY, state("s"), "what it says anew does");
    says("c", 5 * S, EndpointClaim.back("s/9/0", 5 * S), EndpointClaim.back("s/9/7", 5 * S));
    assertEquals(ServerState.WITHDRAWN, state("s"));
  }

  @Test
  void aFlappingStoreWaitsLongerEachTime() {
    says("a", S, claim(at("s", 1, 0, 0), S), claim(at("t", 2, 0, 0), S));
    long[] waited = new long[6];
    long now = 2 * S;
    for (int i = 0; i < waited.length; i++) {
      says("a", now, EndpointClaim.back("s/1/0", now));
      assertEquals(ServerState.WITHDRAWN, state("s"), "obeyed at once");
      now += S / 10;
      says("a", now, claim(at("s", 1, 0, 0), now));
      long back = now;
      while (state("s") != ServerState.READY) {
        now = membership.nextUs();
        take(membership.passed(now));
      }
      waited[i] = now - back;
      now += S;
    }
    assertEquals(0, waited[0]);
    for (int i = 2; i < 5; i++) {
      assertTrue(waited[i] >= 1.8 * waited[i - 1], "longer each time");
    }
    assertTrue(waited[5] <= 4 * S + 10_000, "but no longer than the settings say");
    // its block bare, it serves all the same
    says("a", now, EndpointClaim.back("s/1/0", now), EndpointClaim.back("t/2/0", now));
    says("a", now + 1, claim(at("s", 1, 0, 0), now + 1));
    assertEquals(EndpointStatus.STANDING_IN, status("s"));
  }

  @Test
  void silenceIsNoWithdrawalUntilTheBound() {
    says("a", S, new EndpointClaim("s", at("s", 1, 0, 0), S, 5 * S));
    take(membership.silent(3 * S, "a"));
    take(membership.passed(6 * S));
    assertEquals(EndpointStatus.STALE, status("s"));
    assertEquals(ServerState.READY, state("s"));
    take(membership.passed(24 * S));
    assertEquals(ServerState.READY, state("s"));
    take(membership.passed(25 * S + S / 10));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    assertEquals(StatusReason.CLAIM_EXPIRED, seen.get(seen.size() - 1).reason());
  }

  @Test
  void boundsOnIdsAndCells() {
    for (int i = 0; i < 60; i++) {
      says("a", S, claim(at("s" + i, 100 + i, 0, 0), S));
    }
    says("a", S, claim(at("z", 7, 2, 0), S));
    assertEquals(50, roster.size());
    assertEquals(11, membership.refused());
    assertFalse(roster.containsKey("z"));
  }

  /** Scripts of three sources: a claim or its withdrawal, each source's in their order. */
  record Said(String source, int store, int variant, boolean back) {}

  @Provide
  Arbitrary<List<Said>> scripts() {
    return Combinators.combine(
            Arbitraries.of("a", "b", "c"),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 3))
        .as((source, store, variant, back) -> new Said(source, store, variant, back == 0))
        .list()
        .ofMaxSize(14);
  }

  private static EndpointClaim of(Said said, long atUs) {
    Endpoint entry =
        at(
            "s" + said.store(),
            said.variant() == 1 ? 77 : 10 + said.store(),
            said.variant() == 2 ? 1 - said.store() % 2 : said.store() % 2,
            said.variant() == 3 ? 9 : 0);
    String key = entry.name() + "/" + said.variant();
    return said.back() ? EndpointClaim.back(key, atUs) : new EndpointClaim(key, entry, atUs, FAR);
  }

  /**
   * Claims only (withdrawals have moments of their own): any order gives the same states, addresses
   * and reasons.
   */
  @Property(tries = 400, seed = "20261201")
  void anyOrderOfTheSameClaimsGivesTheSameRoster(
      @ForAll("scripts") List<Said> script, @ForAll long seed) {
    List<Said> claims = new ArrayList<>();
    script.stream()
        .filter(s -> !s.back())
        .filter(s -> claims.stream().noneMatch(c -> c.equals(s)))
        .forEach(claims::add);
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < claims.size(); i++) {
      order.add(i);
    }
    Map<String, String> first = outcome(claims, order);
    java.util.Collections.shuffle(order, new Random(seed));
    assertEquals(first, outcome(claims, order));
  }

  private static Map<String, String> outcome(List<Said> claims, List<Integer> order) {
    EndpointRegistry m = fresh();
    for (int i : order) {
      m.said(100 * S, claims.get(i).source(), false, List.of(of(claims.get(i), S + i)));
    }
    Map<String, String> result = new TreeMap<>();
    m.rows()
        .forEach(
            r ->
                result.put(
                    r.store() + "/" + r.source() + "/" + r.key(), r.status() + " " + r.reason()));
    return result;
  }

  /**
   * Whatever happens: no store that no source claims any more is told ready, and none outside the
   * cell that is claimed.
   */
  @Property(tries = 400, seed = "20261201")
  void noScheduleSendsToAWithdrawnStore(@ForAll("scripts") List<Said> script) {
    EndpointRegistry m = fresh();
    Map<String, ServerState> told = new HashMap<>();
    Map<String, EndpointClaim> standing = new HashMap<>();
    long now = S;
    for (Said said : script) {
      now += S / 3;
      EndpointClaim claim = of(said, now);
      String key = said.source() + claim.key();
      if (said.back()) {
        standing.remove(key);
      } else {
        standing.put(key, claim);
      }
      List<EndpointChange> changes = new ArrayList<>(m.passed(now));
      changes.addAll(m.said(now, said.source(), false, List.of(claim)));
      changes.stream()
          .filter(EndpointChange::told)
          .forEach(c -> told.put(c.entry().name(), c.entry().state()));
      told.forEach(
          (name, state) ->
              assertTrue(
                  state != ServerState.READY
                      || standing.values().stream().anyMatch(c -> c.entry().name().equals(name)),
                  name));
      for (EndpointChange c : changes) {
        boolean claimed =
            standing.values().stream()
                .anyMatch(
                    x ->
                        x.entry().name().equals(c.entry().name())
                            && x.entry().cell() == c.entry().cell());
        assertTrue(
            !c.told() || c.entry().state() != ServerState.READY || claimed,
            "another cell than claimed");
      }
    }
  }

  /** The wheel against a sorted map: each moment rings once, not early and at most a tick late. */
  @Property(tries = 200, seed = "20261201")
  void theWheelRingsInTime(@ForAll("moments") List<Long> moments) {
    TimingWheel<Long> wheel = new TimingWheel<>(0);
    moments.forEach(due -> wheel.set(due, due));
    List<Long> rung = new ArrayList<>();
    long now = 0;
    while (wheel.nextUs() != TimingWheel.NEVER) {
      now = Math.max(now, wheel.nextUs());
      long at = now;
      wheel.advance(
          now,
          due -> {
            assertTrue(
                due <= at && at - due <= TimingWheel.TICK_US || due < TimingWheel.TICK_US,
                due + " at " + at);
            rung.add(due);
          });
    }
    assertEquals(moments.stream().sorted().toList(), rung.stream().sorted().toList());
    assertEquals(0, wheel.size());
  }

  @Provide
  Arbitrary<List<Long>> moments() {
    return Arbitraries.longs().between(0, 200L * 3600 * S).list().ofMaxSize(40);
  }
}

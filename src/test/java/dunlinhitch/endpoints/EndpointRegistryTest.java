package dunlinhitch.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.endpoints.Endpoint.Protocol;
import java.util.ArrayList;
import java.util.Collections;
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
 * Tests {@link EndpointRegistry} with two cells and three sources. Each shard is in one of the
 * cells. The sources "a" and "b" have equal ranks, and "c" has lower precedence.
 */
class EndpointRegistryTest {
  private static final long SECOND_US = 1_000_000;
  private static final long FAR_FUTURE_US = 10_000 * SECOND_US;
  private final EndpointRegistry registry = newRegistry();

  /** The published endpoints, derived only from the returned changes. */
  private final Map<String, Endpoint> published = new TreeMap<>();

  private final List<EndpointChange> allChanges = new ArrayList<>();

  private static EndpointRegistry newRegistry() {
    EndpointRegistry registry =
        new EndpointRegistry(
            new EndpointRegistrySettings(
                2,
                1,
                10 * SECOND_US,
                20 * SECOND_US,
                SECOND_US / 2,
                4 * SECOND_US,
                60 * SECOND_US,
                50),
            0);
    registry.registerSource("a", 1, false);
    registry.registerSource("b", 1, false);
    registry.registerSource("c", 2, false);
    return registry;
  }

  private static Endpoint endpoint(String name, int port, int cell, long startedUs) {
    return new Endpoint(
        name, "127.0.0.1", port, 0, cell, ServerState.READY, 1, startedUs, Protocol.FRAMES);
  }

  private static EndpointClaim claim(Endpoint entry, long reportedUs) {
    return new EndpointClaim(
        entry.name() + "/" + entry.port() + "/" + entry.startedUs(),
        entry,
        reportedUs,
        FAR_FUTURE_US);
  }

  private void apply(List<EndpointChange> changes) {
    for (EndpointChange change : changes) {
      allChanges.add(change);
      if (change.endpointChanged()) {
        published.put(change.endpoint().name(), change.endpoint());
      }
    }
  }

  private void report(String source, long reportedUs, EndpointClaim... claims) {
    apply(registry.update(reportedUs, source, false, List.of(claims)));
  }

  private ServerState state(String name) {
    return published.get(name).state();
  }

  private EndpointStatus status(String name) {
    return registry.rows().stream()
        .filter(row -> row.name().equals(name))
        .findFirst()
        .orElseThrow()
        .status();
  }

  @Test
  void aReturnWithinTheLingerIsTheSameProcess() {
    apply(registry.update(SECOND_US, "a", true, List.of(claim(endpoint("s", 1, 0, 0), SECOND_US))));
    report("a", 20 * SECOND_US, EndpointClaim.withdrawal("s/1/0", 20 * SECOND_US));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    report(
        "a",
        20 * SECOND_US + SECOND_US / 2,
        claim(endpoint("s", 1, 0, 0), 20 * SECOND_US + SECOND_US / 2));
    assertEquals(ServerState.READY, state("s"));
    assertEquals(
        0,
        published.get("s").startedUs(),
        "the return of the endpoint must not cause a slow start");
  }

  @Test
  void anotherAddressOrStartIsARestart() {
    apply(
        registry.update(
            SECOND_US,
            "a",
            true,
            List.of(
                claim(endpoint("s", 1, 0, 0), SECOND_US),
                claim(endpoint("t", 2, 0, 5), SECOND_US))));
    report(
        "a",
        20 * SECOND_US,
        EndpointClaim.withdrawal("s/1/0", 20 * SECOND_US),
        claim(endpoint("s", 9, 0, 0), 20 * SECOND_US),
        EndpointClaim.withdrawal("t/2/5", 20 * SECOND_US),
        claim(endpoint("t", 2, 0, 7 * SECOND_US), 20 * SECOND_US));
    assertEquals(20 * SECOND_US, published.get("s").startedUs());
    assertEquals(7 * SECOND_US, published.get("t").startedUs());
    report("a", 21 * SECOND_US, claim(endpoint("u", 3, 0, 0), 21 * SECOND_US));
    assertEquals(
        21 * SECOND_US,
        published.get("u").startedUs(),
        "an endpoint that appeared after the first complete list must count as just started");
  }

  @Test
  void aReturnAfterTheLingerIsAnotherProcess() {
    apply(registry.update(SECOND_US, "a", true, List.of(claim(endpoint("s", 1, 0, 0), SECOND_US))));
    report("a", 2 * SECOND_US, EndpointClaim.withdrawal("s/1/0", 2 * SECOND_US));
    apply(registry.advanceTo(11 * SECOND_US));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    apply(registry.advanceTo(12 * SECOND_US + SECOND_US / 10));
    assertEquals(ServerState.GONE, state("s"));
    report("a", 80 * SECOND_US, claim(endpoint("s", 1, 0, 0), 80 * SECOND_US));
    assertEquals(80 * SECOND_US, published.get("s").startedUs());
  }

  @Test
  void disputedEndpointsServeOnlyWhereTheyStandIn() {
    report(
        "a",
        SECOND_US,
        claim(endpoint("s", 1, 0, 0), SECOND_US),
        claim(endpoint("t", 2, 0, 0), SECOND_US),
        claim(endpoint("u", 3, 1, 0), SECOND_US));
    report(
        "b",
        2 * SECOND_US,
        claim(endpoint("s", 9, 0, 0), 2 * SECOND_US),
        claim(endpoint("u", 8, 1, 0), 2 * SECOND_US));
    assertEquals(ServerState.WITHDRAWN, state("s"), "s must not serve, because t serves its shard");
    assertEquals(
        ServerState.READY, state("u"), "u must serve, because no other endpoint serves its shard");
    assertEquals(3, published.get("u").port(), "the older claim must have precedence");
    assertEquals(EndpointStatus.STANDING_IN, status("u"));
    report("a", 3 * SECOND_US, claim(endpoint("v", 4, 1, 0), 3 * SECOND_US));
    assertEquals(ServerState.WITHDRAWN, state("u"), "u must not serve, because v serves its shard");
    report("b", 4 * SECOND_US, EndpointClaim.withdrawal("s/9/0", 4 * SECOND_US));
    assertEquals(ServerState.READY, state("s"), "s must serve, because the conflict has ended");
  }

  @Test
  void anEndpointOfADisputedCellNeverStandsIn() {
    report("a", SECOND_US, claim(endpoint("s", 1, 0, 0), SECOND_US));
    report("b", 2 * SECOND_US, claim(endpoint("s", 1, 1, 0), 2 * SECOND_US));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    assertEquals(StatusReason.CELL_CONFLICT, allChanges.get(allChanges.size() - 1).reason());
  }

  @Test
  void twoNamesAtOneAddressAreDisputed() {
    report(
        "a",
        SECOND_US,
        claim(endpoint("s", 1, 0, 0), SECOND_US),
        claim(endpoint("t", 5, 0, 0), SECOND_US));
    report("a", 2 * SECOND_US, claim(endpoint("u", 1, 0, 0), 2 * SECOND_US));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    assertEquals(ServerState.WITHDRAWN, state("u"));
    report("a", 3 * SECOND_US, EndpointClaim.withdrawal("u/1/0", 3 * SECOND_US));
    assertEquals(ServerState.READY, state("s"));
  }

  @Test
  void theSourceOfHigherPrecedenceWinsAndItsWithdrawalOverrules() {
    report("c", SECOND_US, claim(endpoint("s", 9, 0, 0), SECOND_US));
    report("a", 2 * SECOND_US, claim(endpoint("s", 1, 0, 0), 2 * SECOND_US));
    assertEquals(1, published.get("s").port());
    report("a", 3 * SECOND_US, EndpointClaim.withdrawal("s/1/0", 3 * SECOND_US));
    assertEquals(
        ServerState.WITHDRAWN,
        state("s"),
        "the withdrawal must overrule earlier claims of a source with lower precedence");
    report("c", 4 * SECOND_US, claim(endpoint("s", 9, 0, 7), 4 * SECOND_US));
    assertEquals(ServerState.READY, state("s"), "claims after the withdrawal must count");
    report(
        "c",
        5 * SECOND_US,
        EndpointClaim.withdrawal("s/9/0", 5 * SECOND_US),
        EndpointClaim.withdrawal("s/9/7", 5 * SECOND_US));
    assertEquals(ServerState.WITHDRAWN, state("s"));
  }

  @Test
  void aFlappingEndpointIsSuppressedLongerEachTime() {
    report(
        "a",
        SECOND_US,
        claim(endpoint("s", 1, 0, 0), SECOND_US),
        claim(endpoint("t", 2, 0, 0), SECOND_US));
    long[] suppressionsUs = new long[6];
    long now = 2 * SECOND_US;
    for (int i = 0; i < suppressionsUs.length; i++) {
      report("a", now, EndpointClaim.withdrawal("s/1/0", now));
      assertEquals(ServerState.WITHDRAWN, state("s"), "the endpoint must be withdrawn immediately");
      now += SECOND_US / 10;
      report("a", now, claim(endpoint("s", 1, 0, 0), now));
      long returnedUs = now;
      while (state("s") != ServerState.READY) {
        now = registry.nextUs();
        apply(registry.advanceTo(now));
      }
      suppressionsUs[i] = now - returnedUs;
      now += SECOND_US;
    }
    assertEquals(0, suppressionsUs[0]);
    for (int i = 2; i < 5; i++) {
      assertTrue(
          suppressionsUs[i] >= 1.8 * suppressionsUs[i - 1],
          "each suppression must be longer than the previous one");
    }
    assertTrue(
        suppressionsUs[5] <= 4 * SECOND_US + 10_000,
        "the suppression must not exceed the configured maximum");
    // If no other endpoint serves its shard, the endpoint serves in spite of the suppression.
    report(
        "a", now, EndpointClaim.withdrawal("s/1/0", now), EndpointClaim.withdrawal("t/2/0", now));
    report("a", now + 1, claim(endpoint("s", 1, 0, 0), now + 1));
    assertEquals(EndpointStatus.STANDING_IN, status("s"));
  }

  @Test
  void claimsOfAnUnavailableSourceStayStaleUntilTheBound() {
    report(
        "a", SECOND_US, new EndpointClaim("s", endpoint("s", 1, 0, 0), SECOND_US, 5 * SECOND_US));
    apply(registry.sourceUnavailable(3 * SECOND_US, "a"));
    apply(registry.advanceTo(6 * SECOND_US));
    assertEquals(EndpointStatus.STALE, status("s"));
    assertEquals(ServerState.READY, state("s"));
    apply(registry.advanceTo(24 * SECOND_US));
    assertEquals(ServerState.READY, state("s"));
    apply(registry.advanceTo(25 * SECOND_US + SECOND_US / 10));
    assertEquals(ServerState.WITHDRAWN, state("s"));
    assertEquals(StatusReason.CLAIM_EXPIRED, allChanges.get(allChanges.size() - 1).reason());
  }

  @Test
  void claimsBeyondTheBoundsAreRejected() {
    for (int i = 0; i < 60; i++) {
      report("a", SECOND_US, claim(endpoint("s" + i, 100 + i, 0, 0), SECOND_US));
    }
    report("a", SECOND_US, claim(endpoint("z", 7, 2, 0), SECOND_US));
    assertEquals(50, published.size());
    assertEquals(11, registry.rejectedClaims());
    assertFalse(published.containsKey("z"));
  }

  /** One step of a script: a claim or its withdrawal by one of three sources. */
  record Report(String source, int store, int variant, boolean withdrawal) {}

  @Provide
  Arbitrary<List<Report>> scripts() {
    return Combinators.combine(
            Arbitraries.of("a", "b", "c"),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 3))
        .as(
            (source, store, variant, withdrawal) ->
                new Report(source, store, variant, withdrawal == 0))
        .list()
        .ofMaxSize(14);
  }

  private static EndpointClaim toClaim(Report report, long reportedUs) {
    Endpoint entry =
        endpoint(
            "s" + report.store(),
            report.variant() == 1 ? 77 : 10 + report.store(),
            report.variant() == 2 ? 1 - report.store() % 2 : report.store() % 2,
            report.variant() == 3 ? 9 : 0);
    String key = entry.name() + "/" + report.variant();
    return report.withdrawal()
        ? EndpointClaim.withdrawal(key, reportedUs)
        : new EndpointClaim(key, entry, reportedUs, FAR_FUTURE_US);
  }

  /** Without withdrawals, any order of claims results in the same statuses and reasons. */
  @Property(tries = 400, seed = "20261201")
  void theOrderOfClaimsDoesNotMatter(@ForAll("scripts") List<Report> script, @ForAll long seed) {
    List<Report> claims = new ArrayList<>();
    script.stream()
        .filter(candidate -> !candidate.withdrawal())
        .filter(candidate -> claims.stream().noneMatch(report -> report.equals(candidate)))
        .forEach(claims::add);
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < claims.size(); i++) {
      order.add(i);
    }
    Map<String, String> expected = outcome(claims, order);
    Collections.shuffle(order, new Random(seed));
    assertEquals(expected, outcome(claims, order));
  }

  private static Map<String, String> outcome(List<Report> claims, List<Integer> order) {
    EndpointRegistry registry = newRegistry();
    for (int i : order) {
      registry.update(
          100 * SECOND_US,
          claims.get(i).source(),
          false,
          List.of(toClaim(claims.get(i), SECOND_US + i)));
    }
    Map<String, String> result = new TreeMap<>();
    registry
        .rows()
        .forEach(
            row ->
                result.put(
                    row.name() + "/" + row.source() + "/" + row.key(),
                    row.status() + " " + row.reason()));
    return result;
  }

  /**
   * For any reports of the sources, an endpoint is published as ready only while a source claims
   * it, and only in a cell that a source claims for the endpoint.
   */
  @Property(tries = 400, seed = "20261201")
  void noWithdrawnEndpointIsPublishedAsReady(@ForAll("scripts") List<Report> script) {
    EndpointRegistry registry = newRegistry();
    Map<String, ServerState> publishedStates = new HashMap<>();
    Map<String, EndpointClaim> activeClaims = new HashMap<>();
    long now = SECOND_US;
    for (Report report : script) {
      now += SECOND_US / 3;
      EndpointClaim claim = toClaim(report, now);
      String key = report.source() + claim.key();
      if (report.withdrawal()) {
        activeClaims.remove(key);
      } else {
        activeClaims.put(key, claim);
      }
      List<EndpointChange> changes = new ArrayList<>(registry.advanceTo(now));
      changes.addAll(registry.update(now, report.source(), false, List.of(claim)));
      changes.stream()
          .filter(EndpointChange::endpointChanged)
          .forEach(
              change -> publishedStates.put(change.endpoint().name(), change.endpoint().state()));
      publishedStates.forEach(
          (name, state) ->
              assertTrue(
                  state != ServerState.READY
                      || activeClaims.values().stream()
                          .anyMatch(active -> active.endpoint().name().equals(name)),
                  name));
      for (EndpointChange change : changes) {
        boolean claimed =
            activeClaims.values().stream()
                .anyMatch(
                    active ->
                        active.endpoint().name().equals(change.endpoint().name())
                            && active.endpoint().cell() == change.endpoint().cell());
        assertTrue(
            !change.endpointChanged() || change.endpoint().state() != ServerState.READY || claimed,
            "the endpoint is published in a cell that no source claims for it");
      }
    }
  }
}

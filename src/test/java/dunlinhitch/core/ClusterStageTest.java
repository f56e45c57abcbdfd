package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.cluster.ClusterSettings;
import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.versions.VersionSkewSettings;
import dunlinhitch.cluster.versions.VersionVector;
import dunlinhitch.core.Effect.SendRequest;
import dunlinhitch.core.QueryRequest.PartRequest;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * The reducer as a member of a cluster, on a manual clock: subsets, shared health checks, versions.
 */
class ClusterStageTest {
  private static final long SECOND = 1_000_000;
  private static final int ENDPOINTS = 6;
  private static final Member SELF =
      new Member("n0", "0", "127.0.0.1", 7400, 1, Member.Status.ALIVE);
  private static final VersionVector OWN = new VersionVector("b", "aaaa", 1_000, 0);
  private long now = 1_000 * SECOND;
  private final Reducer reducer =
      new Reducer(
          BrokerFixture.settings(400),
          null,
          List.of(),
          new ClusterIdentity(
              SELF,
              List.of(new MembershipProtocol.Seed("127.0.0.1", 7401)),
              ClusterSettings.STANDARD,
              0,
              VersionSkewSettings.STANDARD,
              OWN),
          7,
          now);
  private final List<Effect> effects = new ArrayList<>();
  private int queryCount;

  private void turn(Event... events) {
    effects.addAll(reducer.turn(now, List.of(events)));
  }

  private static Endpoint endpoint(int index, ServerState state) {
    return new Endpoint(
        "s" + index, "127.0.0.1", 7000 + index, 0, 0, state, 1, 0, Endpoint.Protocol.FRAMES);
  }

  private void listAllEndpoints() {
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.FULL,
            IntStream.range(0, ENDPOINTS).mapToObj(i -> endpoint(i, ServerState.READY)).toList()));
  }

  private static Event.GossipReceived gossipFrom(
      int broker, GossipMessage.Kind kind, long number, EndpointObservation... observations) {
    Member peer = new Member("n" + broker, "0", "127.0.0.1", 7400 + broker, 1, Member.Status.ALIVE);
    return new Event.GossipReceived(
        new GossipMessage(kind, peer, number, "", null, List.of(), List.of(observations)));
  }

  /** Sends 60 queries, each answered immediately, and returns the numbers of the endpoints used. */
  private Set<Integer> endpointsUsed() {
    Set<Integer> endpointsUsed = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      now += 10_000;
      List<PartRequest> part = List.of(new PartRequest(0, 1, 0));
      List<Effect> emitted =
          reducer.turn(
              now,
              List.of(
                  new Event.QueryReceived(
                      ++queryCount,
                      new QueryRequest(
                          "q" + queryCount,
                          "",
                          reducer.settings().classes().get(0),
                          now + 900_000,
                          false,
                          part,
                          "x"))));
      effects.addAll(emitted);
      for (Effect effect : emitted) {
        if (effect instanceof SendRequest request) {
          endpointsUsed.add(request.endpoint());
          request
              .parts()
              .forEach(
                  p ->
                      turn(
                          new Event.AttemptCompleted(
                              p.attempt(), AttemptOutcome.OK, new float[] {5, 0}, "v")));
        }
      }
    }
    return endpointsUsed;
  }

  private boolean hasLogged(String prefix) {
    return effects.stream()
        .anyMatch(
            effect -> effect instanceof Effect.LogMessage log && log.text().startsWith(prefix));
  }

  private List<Effect.SendGossip> gossipSent() {
    return effects.stream()
        .filter(Effect.SendGossip.class::isInstance)
        .map(Effect.SendGossip.class::cast)
        .toList();
  }

  /**
   * A single broker uses all endpoints. In a cluster it uses a subset, and an endpoint that is
   * removed from the subset is replaced.
   */
  @Test
  void queriesGoToTheSubsetWhichFollowsTheCluster() {
    listAllEndpoints();
    assertEquals(ENDPOINTS, endpointsUsed().size());
    for (int broker = 1; broker < 12; broker++) {
      turn(gossipFrom(broker, GossipMessage.Kind.GOSSIP, 0));
    }
    Set<Integer> subset = endpointsUsed();
    assertEquals(2, subset.size(), "each of 12 brokers with 6 stores uses 2: " + subset);
    assertTrue(hasLogged("fleet of 12: "));
    Set<Integer> disconnected = new HashSet<>();
    effects.stream()
        .filter(Effect.CloseIdleConnections.class::isInstance)
        .forEach(e -> disconnected.add(((Effect.CloseIdleConnections) e).endpoint()));
    assertTrue(
        IntStream.rangeClosed(1, ENDPOINTS)
            .allMatch(s -> subset.contains(s) || disconnected.contains(s)),
        disconnected.toString());

    int removed = subset.iterator().next();
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.DELTA, List.of(endpoint(removed - 1, ServerState.GONE))));
    Set<Integer> endpointsLater = endpointsUsed();
    assertTrue(
        !endpointsLater.contains(removed) && endpointsLater.size() == 2,
        endpointsLater + " must not contain the removed endpoint " + removed);
  }

  private Event.GossipReceived gossipWithListGeneration(int broker, long generation) {
    Member peer = new Member("n" + broker, "0", "127.0.0.1", 7400 + broker, 1, Member.Status.ALIVE);
    return new Event.GossipReceived(
        new GossipMessage(
            GossipMessage.Kind.GOSSIP,
            peer,
            0,
            "",
            OWN.withEndpointListGeneration(generation),
            List.of(),
            List.of()));
  }

  /**
   * The other brokers have a newer endpoint list. The broker refreshes its own list; after ten
   * seconds without success it admits no queries and logs why, and it resumes once it has the list.
   * Another broker that does not catch up is fenced too and excluded from the cluster.
   */
  @Test
  void aBrokerWithAnOldListRefreshesItAndIsFencedUntilItHasTheNewOne() {
    listAllEndpoints();
    turn(new Event.EndpointListGenerationChanged(4));
    for (int i = 0; i < 150; i++) {
      now += 100_000;
      turn(
          gossipWithListGeneration(1, 5),
          gossipWithListGeneration(2, 5),
          gossipWithListGeneration(3, 5));
    }
    assertTrue(reducer.isFenced());
    assertTrue(
        effects.stream().filter(Effect.RefreshEndpoints.class::isInstance).count() >= 8,
        "the broker refreshes its list repeatedly");
    assertTrue(
        hasLogged("this broker is fenced: it uses endpoint list 4, the newest is 5; for "),
        effects.toString());
    long before = reducer.counters().get(Counter.QUERIES_NOT_ADMITTED);
    assertEquals(0, endpointsUsed().size());
    assertEquals(60, reducer.counters().get(Counter.QUERIES_NOT_ADMITTED) - before);
    turn(new Event.EndpointListGenerationChanged(5));
    now += 100_000;
    turn();
    assertTrue(
        !reducer.isFenced() && !endpointsUsed().isEmpty(),
        "the broker has the new list and serves queries");
    turn(
        new Event.EndpointListGenerationChanged(6),
        gossipWithListGeneration(1, 6),
        gossipWithListGeneration(2, 6));
    for (int i = 0; i < 120; i++) {
      now += 100_000;
      turn(
          gossipWithListGeneration(1, 6),
          gossipWithListGeneration(2, 6),
          gossipWithListGeneration(3, 5));
    }
    assertTrue(hasLogged("broker n3 is fenced: "));
    assertTrue(hasLogged("fleet of 3: n0 n1 n2;"));
  }

  /** A ping is acknowledged, and shutdown is announced to all known members. */
  @Test
  void pingsAreAcknowledgedAndShutdownIsAnnounced() {
    listAllEndpoints();
    turn(gossipFrom(3, GossipMessage.Kind.PING, 77));
    Effect.SendGossip acknowledgement = gossipSent().get(gossipSent().size() - 1);
    assertEquals(7403, acknowledgement.port());
    assertEquals(GossipMessage.Kind.ACK, acknowledgement.message().kind());
    assertEquals(77, acknowledgement.message().sequenceNumber());
    turn(new Event.ShutdownRequested());
    Effect.SendGossip leave = gossipSent().get(gossipSent().size() - 1);
    assertEquals(GossipMessage.Kind.LEAVE, leave.message().kind());
    assertEquals(Member.Status.LEFT, leave.message().from().status());
    assertTrue(effects.get(effects.size() - 1) instanceof Effect.ShutdownCompleted);
  }

  /**
   * In a cluster of twelve brokers, this broker delegates some health checks to other members.
   * Within 6 s, it sends at most three health checks for each endpoint on average, which is one in
   * each period of 2 s. The other members send gossip, and their only observations concern the
   * endpoint s0.
   */
  @Test
  void healthChecksAreSharedAmongBrokers() {
    listAllEndpoints();
    for (int broker = 1; broker < 12; broker++) {
      turn(gossipFrom(broker, GossipMessage.Kind.GOSSIP, 0));
    }
    List<Long> checkedAt = new ArrayList<>();
    // Queries stay unanswered for 6 s, so that the load balancer requests health checks.
    for (int i = 0; i < 600; i++) {
      now += 10_000;
      List<Effect> emitted =
          reducer.turn(
              now,
              List.of(
                  new Event.QueryReceived(
                      ++queryCount,
                      new QueryRequest(
                          "q" + queryCount,
                          "",
                          reducer.settings().classes().get(0),
                          now + 900_000,
                          false,
                          List.of(new PartRequest(0, 1, 0)),
                          "x"))));
      emitted.stream()
          .filter(Effect.SendHealthCheck.class::isInstance)
          .forEach(p -> checkedAt.add(now));
      if (i % 100 == 0) {
        turn(
            gossipFrom(
                1 + i / 100,
                GossipMessage.Kind.GOSSIP,
                0,
                new EndpointObservation("s0", 0, "n9", 1 + i, now, List.of(9f, 3f), 0)));
      }
    }
    long requested =
        reducer.counters().get(Counter.HEALTH_CHECKS_OWN)
            + reducer.counters().get(Counter.HEALTH_CHECKS_DELEGATED);
    assertTrue(requested > 0, "the load balancer requested no health checks");
    assertEquals(checkedAt.size(), reducer.counters().get(Counter.HEALTH_CHECKS_SENT));
    assertTrue(
        checkedAt.size() <= 3 * ENDPOINTS,
        checkedAt.size() + " health checks of " + ENDPOINTS + " stores in three periods");
    assertTrue(
        reducer.counters().get(Counter.HEALTH_CHECKS_DELEGATED) > 0,
        "no health check was delegated");
  }
}

package dunlinhitch.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.testbed.MembershipBounds;
import dunlinhitch.experiments.testbed.MembershipSimulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates the failure scenarios of docs/view.md on virtual time, each with several seeds. */
class MembershipProtocolTest {
  private static final long SECOND_US = 1_000_000;
  private static final MembershipProtocolSettings SETTINGS = MembershipProtocolSettings.STANDARD;

  private static MembershipSimulation convergedCluster(long seed, int brokers, double loss) {
    MembershipSimulation simulation = new MembershipSimulation(seed, loss, SETTINGS);
    simulation.start(0, brokers);
    assertConverges(simulation, MembershipBounds.joinUs(SETTINGS, brokers));
    simulation.play(SECOND_US);
    return simulation;
  }

  /**
   * Asserts that all brokers have the same members within the bound, and that they detect the
   * convergence within another 5 s.
   */
  private static void assertConverges(MembershipSimulation simulation, long boundUs) {
    long durationUs = simulation.untilAgree(boundUs);
    assertTrue(
        durationUs >= 0,
        () -> "no agreement within " + boundUs + " us: " + memberLists(simulation));
    assertTrue(
        simulation.untilSettled(boundUs + 5 * SECOND_US) >= 0,
        () -> "agreement not detected: " + memberLists(simulation));
  }

  private static String memberLists(MembershipSimulation simulation) {
    StringBuilder memberLists = new StringBuilder();
    simulation
        .nodes()
        .forEach(
            node ->
                memberLists
                    .append('\n')
                    .append(node.name)
                    .append(": ")
                    .append(node.protocol().snapshot().describe(simulation.nowUs(), 40)));
    return memberLists.toString();
  }

  private static long joinBoundUs(int brokers) {
    return MembershipBounds.joinUs(SETTINGS, brokers);
  }

  private static long deathBoundUs(int brokers) {
    return MembershipBounds.dieUs(SETTINGS, brokers);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void brokerThatOnlySendsOrOnlyReceivesAffectsNoOtherAndRejoins(long seed) {
    for (boolean mute : new boolean[] {true, false}) {
      MembershipSimulation simulation = convergedCluster(seed, 8, 0);
      List<MembershipSimulation.Node> others = simulation.nodes().subList(1, 8);
      MembershipSimulation.Node broker = simulation.node(0);
      simulation.cut((from, to) -> (mute ? from : to) == broker);
      simulation.play(deathBoundUs(8));
      assertTrue(
          MembershipSimulation.agree(others),
          "the other brokers must remove the isolated broker; mute: "
              + mute
              + memberLists(simulation));
      assertTrue(
          broker.protocol().snapshot().isolated(), "the isolated broker must detect the isolation");
      assertEquals(
          8,
          broker.protocol().snapshot().members().size(),
          "the isolated broker must keep its last known members");
      assertFalse(broker.protocol().snapshot().isConverged());
      simulation.cut((from, to) -> false);
      assertConverges(simulation, joinBoundUs(8));
    }
  }

  /**
   * Two members cannot reach each other directly. Without indirect probes and retries they would
   * declare each other dead.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void indirectProbesKeepTwoDisconnectedMembersAlive(long seed) {
    for (int brokers : new int[] {3, 9}) {
      MembershipSimulation simulation = convergedCluster(seed, brokers, 0);
      Set<MembershipSimulation.Node> pair = Set.of(simulation.node(0), simulation.node(1));
      simulation.cut((from, to) -> pair.contains(from) && pair.contains(to));
      simulation.play(20 * SECOND_US);
      assertTrue(simulation.agree(), memberLists(simulation));
      assertEquals(0, simulation.falsePositives());
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void flappingPartitionOfOneBrokerRemovesNoOther(long seed) {
    MembershipSimulation simulation = convergedCluster(seed, 8, 0.02);
    MembershipSimulation.Node broker = simulation.node(7);
    List<MembershipSimulation.Node> others = simulation.nodes().subList(0, 7);
    long period = SETTINGS.suspicionTimeoutUs();
    for (int i = 0; i < 20; i++) {
      boolean isCut = i % 2 == 0;
      simulation.cut((from, to) -> isCut && (from == broker || to == broker));
      simulation.play(period);
      others.forEach(node -> assertTrue(node.protocol().snapshot().names().size() >= 7, node.name));
    }
    assertConverges(simulation, joinBoundUs(8));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void clusterConvergesAfterSeventyPercentRestartOrDie(long seed) {
    MembershipSimulation simulation = convergedCluster(seed, 30, 0.05);
    for (int i = 9; i < 30; i++) {
      simulation.kill(i);
    }
    for (int i = 9; i < 30; i++) {
      simulation.restart(i, 0);
    }
    assertConverges(simulation, joinBoundUs(30));
    for (int i = 0; i < 21; i++) {
      simulation.kill(i);
    }
    assertConverges(simulation, deathBoundUs(30));
  }

  /**
   * In each half of a partition some members restart, move or die. After the partition has healed,
   * the updates of both halves are merged.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void partitionedHalvesWithRestartedMembersMerge(long seed) {
    MembershipSimulation simulation = convergedCluster(seed, 12, 0.02);
    simulation.cut(
        (from, to) -> MembershipSimulation.number(from) % 2 != MembershipSimulation.number(to) % 2);
    simulation.play(deathBoundUs(12));
    for (int i = 0; i < 4; i++) {
      simulation.restart(i, 0);
    }
    simulation.move(4, 0);
    simulation.kill(5);
    simulation.play(deathBoundUs(12));
    simulation.cut((from, to) -> false);
    assertConverges(simulation, joinBoundUs(12));
  }

  /**
   * A second process with the same name displaces the first process. The first process detects that
   * it was displaced, and regains the name after the second process has ended.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void duplicateNameGoesToTheLaterIncarnation(long seed) {
    MembershipSimulation simulation = convergedCluster(seed, 6, 0.02);
    MembershipSimulation.Node first = simulation.node(3);
    MembershipSimulation.Node second = simulation.start("n3", 20, simulation.incarnation(0));
    assertConverges(simulation, joinBoundUs(7));
    assertNotNull(first.protocol().snapshot().displacedBy());
    assertNull(second.protocol().snapshot().displacedBy());
    assertEquals(
        1,
        simulation.nodes().get(0).protocol().snapshot().members().stream()
            .filter(member -> member.peer().port() == 7020)
            .count());
    simulation.kill(20);
    // All brokers have the address of the second process until they declare that process dead.
    simulation.play(deathBoundUs(7));
    assertConverges(simulation, joinBoundUs(7));
    assertNull(first.protocol().snapshot().displacedBy());
    long sameIncarnation = simulation.incarnation(5_000);
    simulation.start("n9", 30, sameIncarnation);
    simulation.start("n9", 31, sameIncarnation);
    assertConverges(simulation, joinBoundUs(8));
    assertNotNull(
        simulation.node(30).protocol().snapshot().displacedBy(),
        "of two processes with equal incarnations, the higher address must win");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void changedAddressesAndClocksThatAreSetBackConverge(long seed) {
    MembershipSimulation simulation = convergedCluster(seed, 8, 0.02);
    simulation.move(2, 0);
    assertConverges(simulation, joinBoundUs(8));
    simulation.restart(3, -86_400_000);
    assertConverges(simulation, joinBoundUs(8));
    assertTrue(
        simulation.node(3).protocol().self().incarnation()
            > simulation.incarnation(-86_400_000 / 2),
        "the incarnation must be higher after the restart than before");
    simulation.move(4, -86_400_000);
    simulation.play(deathBoundUs(8));
    assertConverges(simulation, joinBoundUs(8));
    simulation
        .nodes()
        .forEach(
            node ->
                assertEquals(
                    8_004,
                    node.protocol().snapshot().member("n4").orElseThrow().peer().port(),
                    node.name));
  }

  /**
   * A much higher incarnation is refuted by an even higher one. An incarnation that is too high to
   * be refuted is rejected.
   */
  @Test
  void futureIncarnationIsRefutedOrRejected() {
    MembershipSimulation simulation = convergedCluster(1, 5, 0);
    MembershipProtocol view = simulation.node(0).protocol();
    Member self = simulation.node(1).protocol().self();
    long maxAccepted = Member.MAX_INCARNATION / 2;
    for (long incarnation : new long[] {maxAccepted, maxAccepted + 1, Member.MAX_INCARNATION}) {
      long before = view.rejected();
      view.onMessage(
          simulation.nowUs(),
          gossipFrom(
              simulation.node(2),
              List.of(
                  new Member(
                      self.name(),
                      "",
                      self.host(),
                      self.port(),
                      incarnation,
                      Member.Status.DEAD))));
      assertEquals(before + 1, view.rejected());
    }
    view.onMessage(
        simulation.nowUs(),
        gossipFrom(
            simulation.node(2),
            List.of(
                new Member(
                    self.name(),
                    "",
                    self.host(),
                    self.port(),
                    maxAccepted - 1,
                    Member.Status.DEAD))));
    assertEquals(4, view.snapshot().members().size());
    assertConverges(simulation, joinBoundUs(5));
    assertEquals(maxAccepted, simulation.node(1).protocol().self().incarnation());
  }

  private static GossipMessage gossipFrom(MembershipSimulation.Node sender, List<Member> peers) {
    return new GossipMessage(
        GossipMessage.Kind.GOSSIP, sender.protocol().self(), 0, "", null, peers, List.of());
  }

  /**
   * A broker that announces no digest, or a different number of buckets, is accepted as a regular
   * member.
   */
  @Test
  void membersWithoutOrWithOtherDigestsTakePart() {
    List<GossipMessage> sent = new ArrayList<>();
    MembershipProtocol view =
        new MembershipProtocol(
            peer("a", 1),
            List.of(),
            SETTINGS,
            1,
            0,
            (host, port, message) -> sent.add(message),
            maxBytes -> List.of());
    view.onMessage(
        1,
        new GossipMessage(
            GossipMessage.Kind.PING, peer("b", 2), 9, "", null, List.of(), List.of()));
    assertEquals(Set.of("a", "b"), view.snapshot().names());
    assertEquals(Set.of(), view.snapshot().divergedMembers());
    sent.clear();
    view.onMessage(
        2,
        new GossipMessage(
            GossipMessage.Kind.GOSSIP,
            peer("c", 3),
            GossipMessage.COMPARE,
            "",
            null,
            List.of(),
            List.of(),
            7,
            List.of(1L, 2L, 3L),
            List.of()));
    assertEquals(Set.of("c"), view.snapshot().divergedMembers());
    assertTrue(
        sent.stream()
            .anyMatch(
                message ->
                    message.sequenceNumber() == GossipMessage.COMPARED
                        && message.buckets().size() == AntiEntropyDigest.BUCKETS));
    assertTrue(
        sent.stream().anyMatch(message -> message.memberUpdates().contains(peer("b", 2))),
        "the broker must send the members of all buckets");
  }

  private static Member peer(String name, int port) {
    return new Member(name, "", "10.0.0.1", port, 5, Member.Status.ALIVE);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void messagesDelayedBeyondTheSuspicionTimeoutConverge(long seed) {
    MembershipSimulation simulation = convergedCluster(seed, 8, 0);
    MembershipSimulation.Node broker = simulation.node(5);
    simulation.late(
        (from, to) -> from == broker || to == broker ? 6 * SETTINGS.suspicionTimeoutUs() : 0);
    simulation.play(15 * SECOND_US);
    simulation.late((from, to) -> 0);
    simulation.play(7 * SECOND_US);
    assertConverges(simulation, joinBoundUs(8));
  }

  /**
   * A stalled broker detects the stall, regardless of whether timers or queued messages are handled
   * first.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void stalledBrokerDeclaresNoMemberDead(long seed) {
    for (boolean messagesFirst : new boolean[] {true, false}) {
      MembershipSimulation simulation = convergedCluster(seed, 8, 0.05);
      long before = simulation.node(6).protocol().declaredDead();
      simulation.still(6, 2 * SECOND_US, messagesFirst);
      simulation.play(2 * SECOND_US + 1);
      assertTrue(simulation.node(6).protocol().localHealthScore() > 0);
      assertConverges(simulation, joinBoundUs(8) + 2 * SECOND_US);
      simulation.play(10 * SECOND_US);
      assertEquals(before, simulation.node(6).protocol().declaredDead());
      assertTrue(
          simulation.node(6).protocol().localHealthScore() <= 1, "local health must recover");
    }
  }

  /**
   * All seeds die, and the two sides of a partition remove each other before the partition heals.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void clusterWithoutItsSeedsMergesAfterALongPartition(long seed) {
    MembershipSimulation simulation = convergedCluster(seed, 20, 0.02);
    for (int i = 0; i < 8; i++) {
      simulation.kill(i);
    }
    assertConverges(simulation, deathBoundUs(20));
    simulation.cut(
        (from, to) ->
            MembershipSimulation.number(from) < 14 != MembershipSimulation.number(to) < 14);
    simulation.play(deathBoundUs(20) + SETTINGS.deadRetentionUs() + 5 * SECOND_US);
    assertTrue(
        simulation.nodes().stream().allMatch(node -> node.protocol().peers().size() == 5),
        "both sides must have removed each other:" + memberLists(simulation));
    simulation.cut((from, to) -> false);
    // Each broker sends one join per round of 5 pings. Some joins go to addresses that no broker
    // uses any more.
    assertConverges(simulation, joinBoundUs(20) + 8 * 14 * SETTINGS.periodUs());
  }

  /**
   * Groups of brokers that have never exchanged a message merge through the seeds. With the
   * baseline settings they do not merge.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void separatelyStartedGroupsMergeByTheSeeds(long seed) {
    MembershipSimulation simulation = new MembershipSimulation(seed, 0, SETTINGS);
    simulation.cut(
        (from, to) -> MembershipSimulation.number(from) < 4 != MembershipSimulation.number(to) < 4);
    simulation.start(0, 8);
    simulation.play(5 * SECOND_US);
    assertTrue(MembershipSimulation.agree(simulation.nodes().subList(0, 4)));
    simulation.cut((from, to) -> false);
    assertConverges(simulation, joinBoundUs(8));
    MembershipSimulation baseline = new MembershipSimulation(seed, 0, SETTINGS.baseline());
    baseline.cut(
        (from, to) -> MembershipSimulation.number(from) < 4 != MembershipSimulation.number(to) < 4);
    baseline.start(0, 8);
    baseline.play(5 * SECOND_US);
    baseline.cut((from, to) -> false);
    assertEquals(-1, baseline.untilAgree(40 * SECOND_US));
  }

  @Test
  void clusterGrowsFromThreeToThreeHundred() {
    MembershipSimulation simulation = convergedCluster(1, 3, 0.05);
    simulation.start(3, 300);
    assertConverges(simulation, joinBoundUs(300));
    assertEquals(0, simulation.falsePositives());
    assertTrue(
        simulation.largestMessage() <= SETTINGS.maxMessageBytes(),
        "largest message in bytes: " + simulation.largestMessage());
    assertTrue(
        simulation.bytes() / 300.0 / (simulation.nowUs() / 1e6)
            <= MembershipBounds.bytesPerS(SETTINGS));
  }

  /** With messages of at most 256 bytes, the same updates are split over more messages. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void smallMessagesConvergeToo(long seed) {
    MembershipProtocolSettings small = SETTINGS.withMaxMessageBytes(256);
    MembershipSimulation simulation = new MembershipSimulation(seed, 0.05, small);
    simulation.start(0, 40);
    assertConverges(simulation, MembershipBounds.joinUs(small, 40));
    simulation.cut(
        (from, to) ->
            MembershipSimulation.number(from) < 20 != MembershipSimulation.number(to) < 20);
    simulation.play(deathBoundUs(40));
    simulation.cut((from, to) -> false);
    assertConverges(simulation, MembershipBounds.joinUs(small, 40));
    assertTrue(
        simulation.largestMessage() <= 256,
        "largest message in bytes: " + simulation.largestMessage());
  }

  @Test
  void snapshotsAreImmutableAndNumbered() {
    MembershipSimulation simulation = convergedCluster(1, 4, 0);
    ClusterSnapshot before = simulation.node(0).protocol().snapshot();
    simulation.kill(3);
    assertConverges(simulation, deathBoundUs(4));
    assertEquals(4, before.names().size());
    assertTrue(simulation.node(0).protocol().snapshot().number() > before.number());
    assertThrows(UnsupportedOperationException.class, () -> before.members().clear());
    assertThrows(IllegalArgumentException.class, () -> SETTINGS.withMaxMessageBytes(100));
  }
}

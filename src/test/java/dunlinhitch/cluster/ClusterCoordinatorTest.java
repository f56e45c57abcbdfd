package dunlinhitch.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.testbed.ClusterSimulation;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests {@link ClusterCoordinator} in simulated clusters on virtual time, with network faults. */
class ClusterCoordinatorTest {
  private static final long SECOND_US = 1_000_000;

  private static ClusterSimulation simulation(int brokers, double loss) {
    ClusterSimulation simulation =
        new ClusterSimulation(5, brokers, loss, ClusterSettings.STANDARD);
    simulation.stores(4, 3);
    for (int i = 0; i < brokers; i++) {
      simulation.start(i);
    }
    return simulation;
  }

  @Test
  void brokersDiscoverEachOtherAndTheirSubsetsBalanceTheLoad() {
    ClusterSimulation simulation = simulation(8, 0);
    simulation.playTo(4 * SECOND_US);
    assertTrue(simulation.agree(0));
    assertEquals(8 * 4 * 2, simulation.load().values().stream().mapToInt(i -> i).sum());
    assertTrue(
        ClusterSimulation.unevenness(simulation.load()) <= 1.2, simulation.load().toString());
  }

  /**
   * A killed member is removed within the documented bound, and a member that leaves is removed
   * immediately.
   */
  @Test
  void deadAndLeavingMembersAreRemovedWithinTheBound() {
    ClusterSimulation simulation = simulation(8, 0);
    simulation.playTo(4 * SECOND_US);
    simulation.kill(3);
    simulation.playTo(4 * SECOND_US + 2 * 8 * 200_000 + 160_000 + SECOND_US + 4 * 200_000);
    assertTrue(simulation.agree(0), "a dead member is still listed");
    simulation.leave(4);
    simulation.playTo(simulation.nowUs() + 10_000);
    assertTrue(simulation.agree(0), "a member that left is still listed");
    simulation.start(3);
    simulation.playTo(simulation.nowUs() + 3 * SECOND_US);
    assertTrue(simulation.agree(0), "the restarted broker must agree with the others");
    assertEquals(7, simulation.nodes().get(0).coordinator().members().size());
  }

  /**
   * With 10 % message loss no member is declared dead, because each suspected member is notified
   * and refutes the suspicion.
   */
  @Test
  void tenPercentMessageLossDeclaresNoMemberDead() {
    ClusterSimulation simulation = simulation(8, 0.1);
    simulation.playTo(5 * SECOND_US);
    long before =
        simulation.nodes().stream().mapToLong(n -> n.coordinator().membership().version()).sum();
    simulation.playTo(35 * SECOND_US);
    assertTrue(simulation.agree(0));
    assertEquals(
        before,
        simulation.nodes().stream().mapToLong(n -> n.coordinator().membership().version()).sum());
  }

  /**
   * An isolated broker keeps its subset. After the partition has healed, all brokers have the same
   * members again.
   */
  @Test
  void isolatedBrokerRetainsItsSubsetAndRejoins() {
    ClusterSimulation simulation = simulation(8, 0);
    simulation.playTo(4 * SECOND_US);
    Set<String> subset = simulation.nodes().get(2).coordinator().selectedEndpoints();
    Set<String> otherSubset = simulation.nodes().get(5).coordinator().selectedEndpoints();
    simulation.group(2, 1);
    simulation.playTo(9 * SECOND_US);
    assertTrue(simulation.nodes().get(2).coordinator().membership().isIsolated());
    assertEquals(subset, simulation.nodes().get(2).coordinator().selectedEndpoints());
    assertEquals(7, simulation.nodes().get(5).coordinator().members().size());
    simulation.group(2, 0);
    simulation.playTo(13 * SECOND_US);
    assertTrue(simulation.agree(0));
    assertEquals(
        otherSubset,
        simulation.nodes().get(5).coordinator().selectedEndpoints(),
        "the subset must be the same as before the partition");
  }

  /**
   * If all brokers are isolated from each other, they perform no more health checks in total than
   * the connected cluster.
   */
  @Test
  void isolatedBrokersTogetherMakeNoMoreHealthChecks() {
    ClusterSimulation simulation = simulation(8, 0);
    simulation.playTo(4 * SECOND_US);
    for (int i = 0; i < 8; i++) {
      simulation.group(i, i);
    }
    simulation.playTo(10 * SECOND_US);
    for (long at = 10 * SECOND_US; at < 30 * SECOND_US; at += SECOND_US / 10) {
      simulation
          .nodes()
          .forEach(
              node -> simulation.at(simulation.nowUs(), () -> node.requestHealthCheck("s1-1")));
      simulation.playTo(at);
    }
    assertTrue(simulation.mostProbesInASecond(10 * SECOND_US) <= 2, simulation.probes().toString());
    assertFalse(simulation.probes().isEmpty());
  }

  /**
   * The leader of the epoch has died, and no broker has detected its death yet. The next broker in
   * the order performs the health check.
   */
  @Test
  void unresponsiveLeaderIsReplacedAndTheReportReachesAll() {
    ClusterSimulation simulation = simulation(8, 0);
    simulation.playTo(4 * SECOND_US);
    simulation.kill(6);
    for (int i = 0; i < 160; i++) {
      simulation
          .nodes()
          .forEach(
              node -> simulation.at(simulation.nowUs(), () -> node.requestHealthCheck("s1-1")));
      simulation.playTo(simulation.nowUs() + SECOND_US / 10);
    }
    long seconds =
        simulation.probes().stream().map(p -> p.atUs() / (2 * SECOND_US)).distinct().count();
    assertTrue(
        seconds >= 7,
        "of the 8 epochs in 16 s, at least 7 must have a health check: got " + seconds);
    assertTrue(simulation.mostProbesInASecond(4 * SECOND_US) <= 2, simulation.probes().toString());
    simulation.nodes().stream()
        .filter(ClusterSimulation.Node::isUp)
        .forEach(
            n ->
                assertTrue(
                    n.reportedHealthChecks() >= 10,
                    n.name + " got " + n.reportedHealthChecks() + " results"));
  }

  /**
   * Failures that only one broker observes affect only that broker's subset. Failures that two
   * brokers observe affect all subsets.
   */
  @Test
  void failingEndpointIsSubstitutedUntilItRecovers() {
    ClusterSimulation simulation = simulation(8, 0);
    simulation.playTo(4 * SECOND_US);
    String failing = "s0-0";
    List<ClusterSimulation.Node> users =
        simulation.nodes().stream()
            .filter(n -> n.coordinator().selectedEndpoints().contains(failing))
            .toList();
    assertTrue(users.size() >= 4, "at least 4 brokers must use the endpoint: got " + users.size());
    ClusterSimulation.Node firstUser = users.get(0);
    for (int i = 0; i < 3; i++) {
      firstUser.onAttempt(failing, false);
    }
    assertEquals(endpointsOfCell("s0-"), subsetOfCell(firstUser, "s0-"));
    simulation.playTo(6 * SECOND_US);
    assertEquals(
        2,
        subsetOfCell(users.get(2), "s0-").size(),
        "a failure observed by one broker may be a failure of that broker's connection");
    for (int i = 0; i < 3; i++) {
      users.get(1).onAttempt(failing, false);
    }
    simulation.playTo(8 * SECOND_US);
    assertEquals(endpointsOfCell("s0-"), subsetOfCell(users.get(2), "s0-"));
    users.get(0).onAttempt(failing, true);
    users.get(1).onAttempt(failing, true);
    simulation.playTo(11 * SECOND_US);
    assertEquals(2, subsetOfCell(firstUser, "s0-").size());
    assertEquals(2, subsetOfCell(users.get(2), "s0-").size());
  }

  private static Set<String> endpointsOfCell(String cell) {
    return new TreeSet<>(Set.of(cell + "0", cell + "1", cell + "2"));
  }

  private static Set<String> subsetOfCell(ClusterSimulation.Node node, String cell) {
    Set<String> subsetOfCell = new TreeSet<>(node.coordinator().selectedEndpoints());
    subsetOfCell.removeIf(store -> !store.startsWith(cell));
    return subsetOfCell;
  }

  @Test
  void sameSeedReproducesTheSameRun() {
    ClusterSimulation first = simulation(6, 0.2);
    ClusterSimulation second = simulation(6, 0.2);
    first.playTo(6 * SECOND_US);
    second.playTo(6 * SECOND_US);
    assertEquals(first.messageCount(), second.messageCount());
    assertEquals(first.load(), second.load());
  }

  @Test
  void inconsistentTimesAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new MembershipProtocolSettings(200_000, 150_000, 2, SECOND_US, 30 * SECOND_US, 10));
    assertThrows(
        IllegalArgumentException.class,
        () -> new MembershipProtocolSettings(200_000, 80_000, 2, 100_000, 30 * SECOND_US, 10));
    assertThrows(IllegalArgumentException.class, () -> new DutyRotation(SECOND_US, 2 * SECOND_US));
    assertThrows(
        IllegalArgumentException.class,
        () -> new DutyRotation(SECOND_US, SECOND_US / 2).dueUs("t", 0, List.of("a"), "b", false));
  }
}

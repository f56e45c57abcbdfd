package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.SubsetSettings;
import dunlinhitch.experiments.testbed.NetworkFaults;
import dunlinhitch.experiments.testbed.QueryLoad;
import dunlinhitch.experiments.testbed.TestBed;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Several broker processes with injected faults. The tests wait for conditions, not for fixed
 * times.
 */
class ClusterTestBedTest {
  private static final int WAIT_S = 40;
  @TempDir private Path dir;

  private static void assertEvenLoad(TestBed testBed) {
    int brokers = (int) testBed.nodes().stream().filter(TestBed.Node::isUp).count();
    Map<String, Integer> load = testBed.load(TestBed.Node::isUp);
    assertTrue(
        load.values().stream()
            .allMatch(l -> l >= 1 && l <= SubsetSettings.STANDARD.maxLoad(brokers, 3)),
        load.toString());
  }

  private static void partitionAndHeal(TestBed testBed) throws Exception {
    List<TestBed.Node> nodes = testBed.nodes();
    List<String> cached = nodes.get(3).kept();
    NetworkFaults.Rule cut =
        testBed.links.add(
            (from, to) ->
                from.startsWith("n") && to.startsWith("n") && from.equals("n3") != to.equals("n3"),
            NetworkFaults.Harm.LOST,
            0,
            1);
    TestBed.await("the others agree without n3", WAIT_S, () -> TestBed.agree(nodes.subList(0, 3)));
    assertEquals(cached, nodes.get(3).kept(), "an isolated broker must keep its subset");
    testBed.links.remove(cut);
    TestBed.await("n3 is back", WAIT_S, () -> TestBed.agree(nodes));
  }

  private static void killAndRestart(TestBed testBed) throws Exception {
    List<TestBed.Node> nodes = testBed.nodes();
    nodes.get(1).kill();
    List<TestBed.Node> survivors = List.of(nodes.get(0), nodes.get(2), nodes.get(3));
    TestBed.await("the others agree without n1", WAIT_S, () -> TestBed.agree(survivors));
    assertEvenLoad(testBed);
    testBed.start(List.of(nodes.get(1)));
    TestBed.await("n1 is back", WAIT_S, () -> TestBed.agree(nodes));
    assertEvenLoad(testBed);
  }

  /**
   * One broker is partitioned from the others, one is killed and restarted, and one endpoint stops
   * responding to one broker. No query is lost, every value comes from a store, and after each
   * fault the brokers converge again with an even load of the endpoints.
   */
  @Test
  void partitionsCrashesAndUnresponsiveEndpointsLoseNoQuery() throws Exception {
    try (TestBed testBed = new TestBed(dir, 3, 4, 2, 3, "")) {
      List<TestBed.Node> nodes = testBed.nodes();
      testBed.start(nodes);
      TestBed.await("all agree", WAIT_S, () -> TestBed.agree(nodes));
      assertEvenLoad(testBed);
      QueryLoad clients = new QueryLoad(testBed, 100);
      clients.start();

      partitionAndHeal(testBed);
      killAndRestart(testBed);

      String endpoint = nodes.get(0).kept().get(0);
      testBed.links.add(
          (from, to) -> from.equals(endpoint) && to.equals("n0"), NetworkFaults.Harm.LOST, 0, 1);
      int ended = clients.ended();
      TestBed.await("a hundred more queries ended", WAIT_S, () -> clients.ended() >= ended + 100);
      testBed.links.clear();
      testBed.reset(nodes.get(0));

      nodes.get(2).terminate();
      TestBed.await("n2 has terminated", WAIT_S, () -> !nodes.get(2).isUp());
      Map<QueryLoad.End, Integer> ends = clients.stop();
      assertTrue(
          ends.keySet().stream().noneMatch(QueryLoad::isBreach), () -> ends + " " + notes(clients));
      assertTrue(ends.get(QueryLoad.End.SERVED) > 50, ends.toString());
      for (TestBed.Node node : nodes) {
        assertFalse(
            node.lines().stream().anyMatch(line -> line.startsWith("fault")),
            node.lines().toString());
      }
    }
  }

  private static boolean logged(TestBed.Node node, String begin) {
    return node.lines().stream().anyMatch(line -> line.startsWith(begin));
  }

  /**
   * One broker is disconnected from discovery while an endpoint starts draining: it detects that
   * its list is outdated, fences itself and admits no query, and the others continue without it.
   * Once reconnected, it gets the list and rejoins. No query is lost.
   */
  @Test
  void brokerCutFromDiscoveryIsFencedAndRejoins() throws Exception {
    try (TestBed testBed = new TestBed(dir, 4, 4, 2, 3, "behind 500ms\nshut_out 2s\n")) {
      List<TestBed.Node> nodes = testBed.nodes();
      TestBed.Node cut = nodes.get(3);
      testBed.start(nodes);
      TestBed.await("all agree", WAIT_S, () -> TestBed.agree(nodes));
      QueryLoad clients = new QueryLoad(testBed, 100);
      clients.start();
      NetworkFaults.Rule rule =
          testBed.links.add(
              (from, to) -> List.of(from, to).containsAll(List.of("n3", "d")),
              NetworkFaults.Harm.LOST,
              0,
              1);
      testBed.change("s0-2", "draining");
      TestBed.await(
          "n3 has detected that its list is outdated",
          WAIT_S,
          () ->
              logged(
                  cut,
                  "this broker is out of date: it uses endpoint list 1, the newest is 2; for "));
      TestBed.await("n3 has fenced itself", WAIT_S, () -> logged(cut, "this broker is fenced: "));
      TestBed.await(
          "the others agree without n3", WAIT_S, () -> TestBed.agree(nodes.subList(0, 3)));
      assertTrue(
          logged(nodes.get(0), "broker n3 is out of date: ")
              && logged(nodes.get(0), "broker n3 is fenced: "));
      TestBed.await(
          "n3 has rejected a query", WAIT_S, () -> clients.ended(QueryLoad.End.REFUSED) > 0);
      testBed.links.remove(rule);
      testBed.resetStalled(cut);
      TestBed.await(
          "n3 has the list",
          WAIT_S,
          () -> logged(cut, "this broker is up to date again: endpoint list 2, after "));
      TestBed.await("all brokers agree again", WAIT_S, () -> TestBed.agree(nodes));
      assertTrue(
          nodes.stream().noneMatch(node -> node.kept().contains("s0-2")),
          "no broker may use the draining endpoint");
      Map<QueryLoad.End, Integer> ends = clients.stop();
      assertTrue(
          ends.keySet().stream().noneMatch(QueryLoad::isBreach), () -> ends + " " + notes(clients));
      assertTrue(
          ends.get(QueryLoad.End.SERVED) > 50 && ends.get(QueryLoad.End.REFUSED) > 0,
          ends.toString());
    }
  }

  private static List<String> notes(QueryLoad clients) {
    try {
      return clients.notes();
    } catch (Exception e) {
      return List.of(e.toString());
    }
  }
}

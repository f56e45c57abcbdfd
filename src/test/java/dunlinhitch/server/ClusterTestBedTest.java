package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.SubsetSettings;
import dunlinhitch.experiments.testbed.Links;
import dunlinhitch.experiments.testbed.Rig;
import dunlinhitch.experiments.testbed.RigClients;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Several broker processes with injected faults; every wait is for a condition, not for a time. */
class ClusterTestBedTest {
  private static final int WAIT_S = 40;
  @TempDir private Path dir;

  private static void assertEvenLoad(Rig rig) {
    int brokers = (int) rig.nodes().stream().filter(Rig.Node::isUp).count();
    Map<String, Integer> load = rig.load(Rig.Node::isUp);
    assertTrue(
        load.values().stream()
            .allMatch(l -> l >= 1 && l <= SubsetSettings.STANDARD.maxLoad(brokers, 3)),
        load.toString());
  }

  private static void partitionAndHeal(Rig rig) throws Exception {
    List<Rig.Node> nodes = rig.nodes();
    List<String> cached = nodes.get(3).kept();
    Links.Rule cut =
        rig.links.add(
            (from, to) ->
                from.startsWith("n") && to.startsWith("n") && from.equals("n3") != to.equals("n3"),
            Links.Harm.LOST,
            0,
            1);
    Rig.await("the others go on without n3", WAIT_S, () -> Rig.agree(nodes.subList(0, 3)));
    assertEquals(cached, nodes.get(3).kept(), "one that hears nobody keeps to what it had");
    rig.links.remove(cut);
    Rig.await("n3 is back", WAIT_S, () -> Rig.agree(nodes));
  }

  private static void killAndRestart(Rig rig) throws Exception {
    List<Rig.Node> nodes = rig.nodes();
    nodes.get(1).kill();
    List<Rig.Node> survivors = List.of(nodes.get(0), nodes.get(2), nodes.get(3));
    Rig.await("the others go on without n1", WAIT_S, () -> Rig.agree(survivors));
    assertEvenLoad(rig);
    rig.start(List.of(nodes.get(1)));
    Rig.await("n1 is back", WAIT_S, () -> Rig.agree(nodes));
    assertEvenLoad(rig);
  }

  /**
   * One broker is partitioned from the others, one is killed and restarted, and one endpoint falls
   * silent to one broker. No query is lost, no value is invented, and after each fault the brokers
   * converge again with an even load of the endpoints.
   */
  @Test
  void partitionsKillsAndSilenceLoseNoQuery() throws Exception {
    try (Rig rig = new Rig(dir, 3, 4, 2, 3, "")) {
      List<Rig.Node> nodes = rig.nodes();
      rig.start(nodes);
      Rig.await("all agree", WAIT_S, () -> Rig.agree(nodes));
      assertEvenLoad(rig);
      RigClients clients = new RigClients(rig, 100);
      clients.start();

      partitionAndHeal(rig);
      killAndRestart(rig);

      String endpoint = nodes.get(0).kept().get(0);
      rig.links.add((from, to) -> from.equals(endpoint) && to.equals("n0"), Links.Harm.LOST, 0, 1);
      int ended = clients.ended();
      Rig.await(
          "a hundred queries more came to an end", WAIT_S, () -> clients.ended() >= ended + 100);
      rig.links.clear();
      rig.reset(nodes.get(0));

      nodes.get(2).terminate();
      Rig.await("n2 ended as asked", WAIT_S, () -> !nodes.get(2).isUp());
      Map<RigClients.End, Integer> ends = clients.stop();
      assertTrue(
          ends.keySet().stream().noneMatch(RigClients::isBreach),
          () -> ends + " " + notes(clients));
      assertTrue(ends.get(RigClients.End.SERVED) > 50, ends.toString());
      for (Rig.Node node : nodes) {
        assertFalse(
            node.lines().stream().anyMatch(line -> line.startsWith("fault")),
            node.lines().toString());
      }
    }
  }

  private static boolean logged(Rig.Node node, String begin) {
    return node.lines().stream().anyMatch(line -> line.startsWith(begin));
  }

  /**
   * One broker is cut from discovery while an endpoint starts draining: it detects that it is
   * behind, fences itself and admits no query, and the others go on without it. With the connection
   * back it gets the list and rejoins. No query is lost meanwhile.
   */
  @Test
  void brokerCutFromDiscoveryIsFencedAndRejoins() throws Exception {
    try (Rig rig = new Rig(dir, 4, 4, 2, 3, "behind 500ms\nshut_out 2s\n")) {
      List<Rig.Node> nodes = rig.nodes();
      Rig.Node cut = nodes.get(3);
      rig.start(nodes);
      Rig.await("all agree", WAIT_S, () -> Rig.agree(nodes));
      RigClients clients = new RigClients(rig, 100);
      clients.start();
      Links.Rule rule =
          rig.links.add(
              (from, to) -> List.of(from, to).containsAll(List.of("n3", "d")),
              Links.Harm.LOST,
              0,
              1);
      rig.change("s0-2", "draining");
      Rig.await(
          "n3 knows that it is behind",
          WAIT_S,
          () -> logged(cut, "this broker is behind: it acts on roster 1, and 2 is newest"));
      Rig.await("n3 is shut out by itself", WAIT_S, () -> logged(cut, "this broker is shut out: "));
      Rig.await("the others go on without n3", WAIT_S, () -> Rig.agree(nodes.subList(0, 3)));
      assertTrue(
          logged(nodes.get(0), "broker n3 is behind: ")
              && logged(nodes.get(0), "broker n3 is shut out: "));
      Rig.await(
          "n3 has turned a query away", WAIT_S, () -> clients.ended(RigClients.End.REFUSED) > 0);
      rig.links.remove(rule);
      rig.resetSilent(cut);
      Rig.await(
          "n3 has the list", WAIT_S, () -> logged(cut, "this broker has caught up: roster 2"));
      Rig.await("all count on n3 again", WAIT_S, () -> Rig.agree(nodes));
      assertTrue(
          nodes.stream().noneMatch(node -> node.kept().contains("s0-2")),
          "it drains, and nobody keeps to it");
      Map<RigClients.End, Integer> ends = clients.stop();
      assertTrue(
          ends.keySet().stream().noneMatch(RigClients::isBreach),
          () -> ends + " " + notes(clients));
      assertTrue(
          ends.get(RigClients.End.SERVED) > 50 && ends.get(RigClients.End.REFUSED) > 0,
          ends.toString());
    }
  }

  private static List<String> notes(RigClients clients) {
    try {
      return clients.notes();
    } catch (Exception e) {
      return List.of(e.toString());
    }
  }
}

package dunlinhitch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.fleet.SubsetRule;
import dunlinhitch.lab.fleet.Links;
import dunlinhitch.lab.fleet.Rig;
import dunlinhitch.lab.fleet.RigClients;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Several processes of the program, and faults between them; what is waited for is waited for, not timed. */
class FleetRigTest {
    private static final int WAIT_S = 40;
    @TempDir
    private Path dir;

    private static void even(Rig rig) {
        int brokers = (int) rig.nodes().stream().filter(Rig.Node::isUp).count();
        Map<String, Integer> load = rig.load(Rig.Node::isUp);
        assertTrue(load.values().stream().allMatch(l -> l >= 1 && l <= SubsetRule.STANDARD.most(brokers, 3)), load.toString());
    }

    /**
     * One broker cut from the others, one killed and back, one whose words are late, a store that falls silent to one broker: no query is
     * lost, none gets a value that no store made, and after each the brokers agree again and no store has more than its share of them.
     */
    @Test
    void throughCutsKillsAndSilenceNoQueryIsLost() throws Exception {
        try (Rig rig = new Rig(dir, 3, 4, 2, 3, "")) {
            List<Rig.Node> nodes = rig.nodes();
            rig.start(nodes);
            Rig.await("all agree", WAIT_S, () -> Rig.agree(nodes));
            even(rig);
            RigClients clients = new RigClients(rig, 100);
            clients.start();

            List<String> kept = nodes.get(3).kept();
            Links.Rule cut = rig.links.add((from, to) -> from.startsWith("n") && to.startsWith("n")
                    && from.equals("n3") != to.equals("n3"), Links.Harm.LOST, 0, 1);
            Rig.await("the others go on without n3", WAIT_S, () -> Rig.agree(nodes.subList(0, 3)));
            assertEquals(kept, nodes.get(3).kept(), "one that hears nobody keeps to what it had");
            rig.links.remove(cut);
            Rig.await("n3 is back", WAIT_S, () -> Rig.agree(nodes));

            nodes.get(1).kill();
            List<Rig.Node> left = List.of(nodes.get(0), nodes.get(2), nodes.get(3));
            Rig.await("the others go on without n1", WAIT_S, () -> Rig.agree(left));
            even(rig);
            rig.start(List.of(nodes.get(1)));
            Rig.await("n1 is back", WAIT_S, () -> Rig.agree(nodes));
            even(rig);

            String silent = nodes.get(0).kept().get(0);
            rig.links.add((from, to) -> from.equals(silent) && to.equals("n0"), Links.Harm.LOST, 0, 1);
            Rig.await("n0 has a stand-in for " + silent, WAIT_S, () -> nodes.get(0).kept().stream()
                    .filter(store -> store.startsWith(silent.substring(0, 3))).count() == 3);
            rig.links.clear();
            rig.reset(nodes.get(0));

            nodes.get(2).terminate();
            Rig.await("n2 ended as asked", WAIT_S, () -> !nodes.get(2).isUp());
            Map<RigClients.End, Integer> ends = clients.stop();
            assertEquals(0, ends.getOrDefault(RigClients.End.LOST, 0) + ends.getOrDefault(RigClients.End.WRONG, 0)
                    + ends.getOrDefault(RigClients.End.LATE, 0), () -> ends + " " + notes(clients));
            assertTrue(ends.get(RigClients.End.SERVED) > 50, ends.toString());
            for (Rig.Node node : nodes) {
                assertFalse(node.lines().stream().anyMatch(line -> line.startsWith("fault")), node.lines().toString());
            }
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

package dunlinhitch.experiments.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a script, or a drawn one, on processes of the real program. */
@Command(
    name = "rig",
    description =
        "Brokers as processes on loopback, with faults between them by a script or a seed; exit code 1 if a "
            + "query is lost or gets what no store made, or if those that are up do not agree in the end.",
    mixinStandardHelpOptions = true)
public final class RigCommand implements Callable<Integer> {
  private static final int MOST_BROKERS = 16;
  private static final int MOST_STORES = 64;
  private static final int AGREE_S = 40;
  private static final int AFTER_MS = 1_000;

  @Parameters(
      arity = "0..1",
      paramLabel = "FILE",
      description = "a script; without it the drawn one of the seed")
  private Path file;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "of all that is drawn (default: ${DEFAULT-VALUE})")
  private long seed;

  @Option(
      names = "--brokers",
      defaultValue = "4",
      description = "processes, up to 16 (default: ${DEFAULT-VALUE})")
  private int brokers;

  @Option(
      names = "--cells",
      defaultValue = "2",
      description = "cells of stores (default: ${DEFAULT-VALUE})")
  private int cells;

  @Option(
      names = "--each",
      defaultValue = "3",
      description = "stores of a cell (default: ${DEFAULT-VALUE})")
  private int each;

  @Option(
      names = "--seconds",
      defaultValue = "12",
      description = "of a drawn script, up to 60 (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    if (brokers < 1
        || brokers > MOST_BROKERS
        || cells < 1
        || each < 1
        || cells * each > MOST_STORES
        || seconds < 4
        || seconds > 60) {
      throw new IllegalArgumentException(
          "a rig has 1 to "
              + MOST_BROKERS
              + " brokers, 1 to "
              + MOST_STORES
              + " stores and 4 to 60 seconds");
    }
    List<String> names = new ArrayList<>();
    for (int i = 0; i < brokers; i++) {
      names.add("n" + i);
    }
    List<String> stores = new ArrayList<>();
    for (int cell = 0; cell < cells; cell++) {
      for (int i = 0; i < each; i++) {
        stores.add("s" + cell + "-" + i);
      }
    }
    List<String> all = new ArrayList<>(names);
    all.addAll(stores);
    all.add("d");
    RigScript script =
        file == null
            ? RigScript.drawn(seed, seconds, names, stores)
            : RigScript.read(file.toString(), Files.readAllLines(file), all);
    script.lines().forEach(System.out::println);
    Path dir = Files.createTempDirectory("rig");
    try (Rig rig = new Rig(dir, seed, brokers, cells, each, "")) {
      rig.start(rig.nodes());
      Rig.await("the brokers agree at the start", AGREE_S, () -> Rig.agree(rig.nodes()));
      RigClients clients = new RigClients(rig, 100);
      clients.start();
      script.play(rig, System.out::println);
      List<Rig.Node> up = rig.nodes().stream().filter(Rig.Node::isUp).toList();
      double took = Rig.await("those that are up agree in the end", AGREE_S, () -> Rig.agree(up));
      TimeUnit.MILLISECONDS.sleep(AFTER_MS);
      Map<RigClients.End, Integer> ends = clients.stop();
      clients.notes().forEach(note -> System.out.println("  " + note));
      System.out.printf(
          "agree %.2f s after the last trouble; brokers at each store %s%n",
          took, rig.load(up::contains));
      System.out.println("queries " + ends);
      return ends.keySet().stream().anyMatch(RigClients::isBreach) ? 1 : 0;
    } finally {
      clear(dir);
    }
  }

  /** Takes away what a rig wrote. */
  public static void clear(Path dir) throws IOException {
    try (Stream<Path> all = Files.walk(dir)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }
}

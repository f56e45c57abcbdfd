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

/**
 * The command that injects faults into a {@link TestBed} under load. The schedule of the faults is
 * read from a file or derived from a seed.
 */
@Command(
    name = "rig",
    description =
        "Runs broker processes on loopback and injects faults from a schedule, or random faults derived from a seed; exit code 1 if a "
            + "query is lost or answered with a wrong value, or if the running brokers do not agree on the members at the end.",
    mixinStandardHelpOptions = true)
public final class TestBedCommand implements Callable<Integer> {
  private static final int MAX_BROKERS = 16;
  private static final int MAX_STORES = 64;
  private static final int CONVERGENCE_TIMEOUT_S = 40;
  private static final int MIN_SECONDS = 4;
  private static final int MAX_SECONDS = 60;

  /** Milliseconds between two queries to one broker. */
  private static final int QUERY_INTERVAL_MS = 100;

  /** Milliseconds for which the load continues after the brokers agree on the members again. */
  private static final int SETTLE_MS = 1_000;

  @Parameters(
      arity = "0..1",
      paramLabel = "FILE",
      description =
          "file with a schedule of faults; without it, a random schedule is derived from the seed")
  private Path file;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "seed of the brokers and of all random choices (default: ${DEFAULT-VALUE})")
  private long seed;

  @Option(
      names = "--brokers",
      defaultValue = "4",
      description = "number of broker processes, up to 16 (default: ${DEFAULT-VALUE})")
  private int brokers;

  @Option(
      names = "--cells",
      defaultValue = "2",
      description = "number of store cells (default: ${DEFAULT-VALUE})")
  private int cells;

  @Option(
      names = "--each",
      defaultValue = "3",
      description = "number of stores in each cell (default: ${DEFAULT-VALUE})")
  private int each;

  @Option(
      names = "--seconds",
      defaultValue = "12",
      description = "length of a random schedule in seconds, 4 to 60 (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    checkOptions();
    FaultSchedule schedule = schedule();
    schedule.lines().forEach(System.out::println);
    Path directory = Files.createTempDirectory("rig");
    try (TestBed testBed = new TestBed(directory, seed, brokers, cells, each, "")) {
      return play(testBed, schedule);
    } finally {
      clear(directory);
    }
  }

  private void checkOptions() {
    boolean brokersValid = brokers >= 1 && brokers <= MAX_BROKERS;
    boolean storesValid = cells >= 1 && each >= 1 && cells * each <= MAX_STORES;
    boolean secondsValid = seconds >= MIN_SECONDS && seconds <= MAX_SECONDS;
    if (!brokersValid || !storesValid || !secondsValid) {
      throw new IllegalArgumentException(
          "a test bed supports 1 to "
              + MAX_BROKERS
              + " brokers, 1 to "
              + MAX_STORES
              + " stores and "
              + MIN_SECONDS
              + " to "
              + MAX_SECONDS
              + " seconds; got "
              + brokers
              + " brokers, "
              + cells
              + " cells with "
              + each
              + " stores each and "
              + seconds
              + " seconds");
    }
  }

  private FaultSchedule schedule() throws IOException {
    List<String> brokerNames = new ArrayList<>();
    for (int i = 0; i < brokers; i++) {
      brokerNames.add("n" + i);
    }
    List<String> storeNames = new ArrayList<>();
    for (int cell = 0; cell < cells; cell++) {
      for (int i = 0; i < each; i++) {
        storeNames.add("s" + cell + "-" + i);
      }
    }
    if (file == null) {
      return FaultSchedule.random(seed, seconds, brokerNames, storeNames);
    }
    List<String> allNames = new ArrayList<>(brokerNames);
    allNames.addAll(storeNames);
    allNames.add("d");
    return FaultSchedule.parse(file.toString(), Files.readAllLines(file), allNames);
  }

  /** Injects the faults under load and prints a report; returns the exit code. */
  private static int play(TestBed testBed, FaultSchedule schedule) throws Exception {
    testBed.start(testBed.nodes());
    TestBed.await(
        "the brokers agree on the members at the start",
        CONVERGENCE_TIMEOUT_S,
        () -> TestBed.agree(testBed.nodes()));
    QueryLoad clients = new QueryLoad(testBed, QUERY_INTERVAL_MS);
    clients.start();
    schedule.play(testBed, System.out::println);
    List<TestBed.Node> running = testBed.nodes().stream().filter(TestBed.Node::isUp).toList();
    double convergenceS =
        TestBed.await(
            "the running brokers agree on the members after the last fault",
            CONVERGENCE_TIMEOUT_S,
            () -> TestBed.agree(running));
    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    Map<QueryLoad.End, Integer> ends = clients.stop();
    clients.notes().forEach(note -> System.out.println("  " + note));
    System.out.printf(
        "the brokers agreed on the members %.2f s after the last fault; brokers that have each store in their subset: %s%n",
        convergenceS, testBed.load(running::contains));
    System.out.println("queries " + ends);
    return ends.keySet().stream().anyMatch(QueryLoad::isBreach) ? 1 : 0;
  }

  /** Deletes a test bed's directory recursively. */
  public static void clear(Path directory) throws IOException {
    try (Stream<Path> paths = Files.walk(directory)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }
}

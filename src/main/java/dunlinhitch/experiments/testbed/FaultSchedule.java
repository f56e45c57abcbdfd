package dunlinhitch.experiments.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A schedule of injected faults, one per line, in any order; {@code #} begins a comment. Targets
 * are brokers (n0), stores (s0-1) and discovery (d):
 *
 * <pre>
 * at 2s..7s cut n2 n3            partitions the targets from all others, in both directions
 * at 2s..7s alone n2             partitions the broker from the other brokers
 * at 2s..7s mute n1 s0-0         drops all traffic from the first to the second
 * at 2s..7s lose n1 n2 30%       drops this share of the datagrams between the two; a stream stalls
 * at 2s..7s late n1 s0-0 200ms   delays the traffic between the two
 * at 2s..7s slow n1 s0-0 5ms     forwards the traffic in 7-byte chunks with this pause in between
 * at 4s reset n1                 resets all connections of the broker
 * at 4s kill n1                  SIGKILL
 * at 4s end n1                   SIGTERM
 * at 9s start n1                 starts the broker without its earlier state
 * </pre>
 *
 * <p>Immutable.
 */
public final class FaultSchedule {
  private static final int MAX_FAULTS = 200;

  private final List<ScheduledFault> faults;

  private FaultSchedule(List<ScheduledFault> faults) {
    this.faults = faults;
  }

  /**
   * Parses a schedule.
   *
   * @param place origin of the lines, for messages
   * @param names the names of the test bed's brokers, stores and discovery
   * @throws IllegalArgumentException if a line is invalid; the message contains the place, the line
   *     and what is expected
   */
  public static FaultSchedule parse(String place, List<String> lines, List<String> names) {
    List<ScheduledFault> faults = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).replaceAll("#.*", "").trim();
      if (!line.isEmpty()) {
        try {
          faults.add(FaultLineParser.parse(line, names));
        } catch (IllegalArgumentException e) {
          throw new IllegalArgumentException(
              place + ":" + (i + 1) + ": " + line + ": " + e.getMessage());
        }
      }
    }
    if (faults.size() > MAX_FAULTS) {
      throw new IllegalArgumentException(
          place + ": more than " + MAX_FAULTS + " faults; split the schedule");
    }
    return new FaultSchedule(faults);
  }

  /**
   * Draws two to five faults. All faults end within {@code seconds} seconds, and every killed
   * broker is started again. The same seed gives the same schedule.
   */
  public static FaultSchedule random(
      long seed, int seconds, List<String> brokers, List<String> stores) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> lines = new ArrayList<>();
    int count = 2 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      int from = 1 + random.nextInt(Math.max(1, seconds / 2));
      int to = Math.min(seconds - 1, from + 1 + random.nextInt(6));
      String broker = brokers.get(random.nextInt(brokers.size()));
      String store = stores.get(random.nextInt(stores.size()));
      String span = "at " + from + "s.." + Math.max(from + 1, to) + "s ";
      switch (random.nextInt(7)) {
        case 0 -> lines.add(span + "alone " + broker);
        case 1 -> lines.add(span + "mute " + store + " " + broker);
        case 2 -> lines.add(span + "mute " + broker + " " + store);
        case 3 ->
            lines.add(
                span + "late " + broker + " " + store + " " + (50 + random.nextInt(300)) + "ms");
        case 4 ->
            lines.add(span + "slow " + broker + " " + store + " " + (1 + random.nextInt(4)) + "ms");
        case 5 -> lines.add("at " + from + "s reset " + broker);
        default -> {
          lines.add("at " + from + "s kill " + broker);
          lines.add("at " + (from + 1) + "s start " + broker);
        }
      }
    }
    List<String> names = new ArrayList<>(brokers);
    names.addAll(stores);
    return parse("seed " + seed, lines, names);
  }

  /** Returns the lines of the schedule as written, without comments. */
  public List<String> lines() {
    return faults.stream().map(ScheduledFault::text).toList();
  }

  /** Returns the last time at which a fault begins or ends, in milliseconds after the start. */
  public long lastMs() {
    return faults.stream()
        .mapToLong(fault -> Math.max(fault.fromMs(), fault.toMs()))
        .max()
        .orElse(0);
  }

  /** Injects the faults in real time, starting now; {@code log} receives a line for each step. */
  public void play(TestBed testBed, Consumer<String> log) throws Exception {
    new FaultInjector(testBed, log).run(faults);
  }
}

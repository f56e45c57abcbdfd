package dunlinhitch.experiments.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates schedules from seeds, parses and formats schedule files ({@code *.day}), searches many
 * seeds for a violation and shrinks a schedule that violates an invariant. Stateless; thread-safe.
 */
public final class SimulationSchedules {
  private static final int DEFAULT_SECONDS = 60;
  private static final double DEFAULT_QUERIES_PER_SECOND = 38;
  private static final int MAX_FAULTS = 6;

  private SimulationSchedules() {}

  /** Generates a random schedule with two to six faults that may overlap. */
  public static SimulationSchedule generate(long seed, Defect defect) {
    UniformRandomProvider random = new RandomStreams(seed).stream("day");
    List<Fault> faults = new ArrayList<>();
    int faultCount = 2 + random.nextInt(MAX_FAULTS - 1);
    for (int i = 0; i < faultCount; i++) {
      long from =
          1_000_000L * (long) RandomStreams.uniform(random, 3, DEFAULT_SECONDS - 15)
              + random.nextInt(1_000_000);
      long length = 1_000_000L * (long) RandomStreams.uniform(random, 1, 10);
      List<String> targets = new ArrayList<>();
      for (int s = 1 + random.nextInt(4); s > 0; s--) {
        String name = "s" + random.nextInt(18);
        if (!targets.contains(name)) {
          targets.add(name);
        }
      }
      long to = from + length;
      faults.add(
          switch (random.nextInt(14)) {
            case 0 -> new Fault(from, to, "", "crash", targets, 0);
            case 1 -> new Fault(from, to, "", "drain", targets, 0);
            case 2 -> new Fault(from, -1, "", "move", targets.subList(0, 1), 0);
            case 3 -> new Fault(from, -1, "", "replace", targets, 0);
            case 4 ->
                new Fault(from, to, "", "slow", targets, RandomStreams.uniform(random, 3.8, 9.8));
            case 5 ->
                new Fault(
                    from, to, "", "slow-all", List.of(), RandomStreams.uniform(random, 1.4, 1.8));
            case 6 ->
                new Fault(from, to, "", "jump", List.of(), RandomStreams.uniform(random, 1.4, 1.9));
            case 7 -> new Fault(from, to, "", "late", List.of(), 2_000_000);
            case 8 ->
                new Fault(from, to, "", "cut", List.of("b" + random.nextInt(3), targets.get(0)), 0);
            case 9 ->
                new Fault(
                    from,
                    from + 5_000_000,
                    "",
                    "room",
                    List.of(random.nextInt(2) == 0 ? "a" : "b"),
                    0);
            case 10 ->
                new Fault(from, from + 2_000_000, "", "kill", List.of("b" + random.nextInt(3)), 0);
            case 11 ->
                new Fault(
                    from, from + 100_000 + random.nextInt(900_000), "", "withdraw", targets, 0);
            case 12 ->
                new Fault(
                    from, to, "", "garble", List.of(), RandomStreams.uniform(random, 0.02, 0.2));
            default -> new Fault(from, to, "", "settings", List.of(), 0);
          });
    }
    return new SimulationSchedule(
        seed, DEFAULT_SECONDS, DEFAULT_QUERIES_PER_SECOND, faults, defect);
  }

  /**
   * Reads a schedule file. Its line {@code day seed 7 seconds 60 rate 38 defect X} sets the seed,
   * the duration, the query rate and the defect; each has a default. A non-null {@code seed} takes
   * precedence over the seed in the file.
   */
  public static SimulationSchedule parse(Path file, Long seed) throws IOException {
    return parse(file, Files.readAllLines(file), seed);
  }

  static SimulationSchedule parse(Path file, List<String> lines, Long seed) {
    Map<String, String> head = new HashMap<>();
    List<String> rest = new ArrayList<>(lines);
    for (int i = 0; i < rest.size(); i++) {
      if (rest.get(i).startsWith("day ")) {
        String[] words = rest.get(i).split("\\s+", 0);
        for (int w = 1; w + 1 < words.length; w += 2) {
          head.put(words[w], words[w + 1]);
        }
        rest.set(i, "");
      }
    }
    return new SimulationSchedule(
        seed != null ? seed : Long.parseLong(head.getOrDefault("seed", "1")),
        Integer.parseInt(head.getOrDefault("seconds", String.valueOf(DEFAULT_SECONDS))),
        Double.parseDouble(head.getOrDefault("rate", String.valueOf(DEFAULT_QUERIES_PER_SECOND))),
        Fault.parse(file, rest),
        Defect.valueOf(head.getOrDefault("defect", "NONE")));
  }

  /** Formats a schedule as the text of a schedule file. */
  public static String format(SimulationSchedule schedule) {
    StringBuilder out =
        new StringBuilder(
            "day seed "
                + schedule.seed()
                + " seconds "
                + schedule.seconds()
                + " rate "
                + schedule.queriesPerSecond()
                + (schedule.defect() == Defect.NONE ? "" : " defect " + schedule.defect())
                + "\n");
    schedule.faults().forEach(fault -> out.append(fault).append('\n'));
    return out.toString();
  }

  /**
   * The result of a search.
   *
   * @param played the number of schedules simulated
   * @param steps the number of scheduled tasks that ran
   * @param meanShare mean share of the offered weight that was served
   * @param violations the results with a violation, in the order of their seeds
   */
  public record SearchResult(
      int played, long steps, double meanShare, List<SimulationResult> violations) {}

  /**
   * Simulates the generated schedules of a range of seeds on all cores; if {@code first} is true,
   * no simulation starts after the first violation.
   */
  public static SearchResult search(long fromSeed, int seeds, Defect defect, boolean first) {
    ConcurrentLinkedQueue<SimulationResult> violations = new ConcurrentLinkedQueue<>();
    AtomicInteger played = new AtomicInteger();
    AtomicLong steps = new AtomicLong();
    double share =
        IntStream.range(0, seeds)
            .parallel()
            .mapToDouble(
                i -> {
                  if (first && !violations.isEmpty()) {
                    return Double.NaN;
                  }
                  SimulationResult result = Simulation.play(generate(fromSeed + i, defect), false);
                  played.incrementAndGet();
                  steps.addAndGet(result.steps());
                  if (result.violation() != null) {
                    violations.add(result);
                  }
                  return result.share();
                })
            .filter(s -> !Double.isNaN(s))
            .average()
            .orElse(0);
    return new SearchResult(
        played.get(),
        steps.get(),
        share,
        violations.stream()
            .sorted((a, b) -> Long.compare(a.schedule().seed(), b.schedule().seed()))
            .toList());
  }

  /**
   * Reduces the faults, the duration and the query rate of a schedule for as long as the simulation
   * still violates the same invariant.
   *
   * @throws IllegalArgumentException if the schedule violates no invariant
   */
  public static SimulationSchedule shrink(SimulationSchedule schedule) {
    SimulationResult original = Simulation.play(schedule, false);
    if (original.violation() == null) {
      throw new IllegalArgumentException("cannot shrink: the schedule violates no invariant");
    }
    String rule = original.violation().rule();
    Predicate<SimulationSchedule> violatesRule =
        candidate -> {
          SimulationResult result = Simulation.play(candidate, false);
          return result.violation() != null && result.violation().rule().equals(rule);
        };
    SimulationSchedule best = schedule;
    for (boolean reduced = true; reduced; ) {
      reduced = false;
      for (int i = 0; i < best.faults().size(); i++) {
        List<Fault> fewer = new ArrayList<>(best.faults());
        fewer.remove(i);
        if (violatesRule.test(best.withFaults(fewer))) {
          best = best.withFaults(fewer);
          reduced = true;
          i--;
        }
      }
      for (int seconds : new int[] {best.seconds() / 2, best.seconds() - 5, best.seconds() - 1}) {
        if (seconds >= 1
            && seconds < best.seconds()
            && violatesRule.test(best.withLoad(seconds, best.queriesPerSecond()))) {
          best = best.withLoad(seconds, best.queriesPerSecond());
          reduced = true;
          break;
        }
      }
      double halfRate = best.queriesPerSecond() / 2;
      if (halfRate >= 1 && violatesRule.test(best.withLoad(best.seconds(), halfRate))) {
        best = best.withLoad(best.seconds(), halfRate);
        reduced = true;
      }
    }
    return best;
  }
}

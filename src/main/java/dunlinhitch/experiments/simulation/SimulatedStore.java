package dunlinhitch.experiments.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Model of a store: {@code CORES} cores and one queue of at most {@code QUEUE_LIMIT} parts. A
 * part's work is log-normal about its class's median; its time on a core is work x slow / warmth,
 * warmth rising evenly from {@code COLD_WEIGHT} to 1 in {@code SLOW_START_US} after a start. Sent
 * more than {@code OVERLOAD_FACTOR} times what it can do at that moment over {@code
 * OVERLOAD_WINDOW_US}, while cold, it falls over and stays down. Load reports are refreshed every
 * 140 to 740 ms. A keyed part that ran is not run again for 4 s.
 */
final class SimulatedStore {
  static final int CORES = 2;
  static final double COLD_WEIGHT = 0.15;
  static final long SLOW_START_US = 17_000_000;
  static final double OVERLOAD_FACTOR = 3;
  static final long OVERLOAD_WINDOW_US = 1_500_000;
  private static final int QUEUE_LIMIT = 200;
  private static final long DEDUPLICATION_WINDOW_US = 4_000_000;

  /** A part that came: who sent it, and how its end is told, or not. */
  private record Job(String key, long workUs, Runnable done) {}

  /** How a part ends here at once. */
  enum Admission {
    ACCEPTED,
    REJECTED,
    DOWN
  }

  final String name;
  final int cell;
  final int zone;
  int port;
  long startedUs;
  boolean running = true;
  boolean draining;
  boolean collapsed;

  /** Counts its lives: what belongs to an earlier one ends without a word. */
  int incarnation;

  double slowdown = 1;
  private final Scheduler time;
  private final UniformRandomProvider random;
  private final LongConsumer onCollapse;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final Deque<long[]> recentWork = new ArrayDeque<>();
  private final Map<String, Long> completedAtUs = new HashMap<>();
  private int busy;
  private long recentWorkUs;
  private float reportedMs;
  private float reportedQueue;
  private long reportAtUs;
  private double smoothedLatencyMs = 80;

  SimulatedStore(
      String name,
      int cell,
      int room,
      int port,
      Scheduler time,
      UniformRandomProvider random,
      LongConsumer fell) {
    this.name = name;
    this.cell = cell;
    this.zone = room;
    this.port = port;
    this.time = time;
    this.random = random;
    this.onCollapse = fell;
  }

  double slowStartWeight() {
    return startedUs == 0
        ? 1
        : Math.min(
            1, COLD_WEIGHT + (1 - COLD_WEIGHT) * (time.now() - startedUs) / (double) SLOW_START_US);
  }

  boolean isCold() {
    return startedUs > 0 && time.now() - startedUs < SLOW_START_US;
  }

  /** Starts anew: what it had is gone, it is cold. */
  void start() {
    incarnation++;
    running = true;
    draining = false;
    collapsed = false;
    waiting.clear();
    recentWork.clear();
    recentWorkUs = 0;
    completedAtUs.clear();
    busy = 0;
    startedUs = time.now();
  }

  void stop() {
    incarnation++;
    running = false;
    waiting.clear();
    busy = 0;
  }

  /** A part is here; {@code done} is called when its answer leaves. */
  Admission submit(String key, long workUs, Runnable done) {
    if (!running) {
      return Admission.DOWN;
    }
    trackColdLoad(workUs);
    if (collapsed || !running) {
      return Admission.DOWN;
    }
    if (draining || waiting.size() >= QUEUE_LIMIT) {
      return Admission.REJECTED;
    }
    waiting.add(new Job(key, workUs, done));
    startWaitingJobs();
    return Admission.ACCEPTED;
  }

  /** The rule on cold stores: work sent within a window against what it can do in it. */
  private void trackColdLoad(long workUs) {
    if (!isCold()) {
      return;
    }
    recentWork.add(new long[] {time.now(), workUs});
    recentWorkUs += workUs;
    while (!recentWork.isEmpty() && recentWork.peek()[0] < time.now() - OVERLOAD_WINDOW_US) {
      recentWorkUs -= recentWork.poll()[1];
    }
    double can = OVERLOAD_FACTOR * CORES * slowStartWeight() * OVERLOAD_WINDOW_US;
    if (recentWorkUs > can) {
      collapsed = true;
      running = false;
      incarnation++;
      onCollapse.accept(recentWorkUs);
    }
  }

  private void startWaitingJobs() {
    while (running && busy < CORES && !waiting.isEmpty()) {
      Job job = waiting.poll();
      if (!job.key().isEmpty()
          && completedAtUs.getOrDefault(job.key(), Long.MIN_VALUE / 2)
              > time.now() - DEDUPLICATION_WINDOW_US) {
        job.done().run(); // dropped as a repeat: its answer stands
        continue;
      }
      busy++;
      int mine = incarnation;
      long took = (long) (job.workUs() * slowdown / slowStartWeight());
      time.scheduleAfter(
          took,
          () -> {
            if (mine != incarnation) {
              return;
            }
            busy--;
            smoothedLatencyMs = 0.8 * smoothedLatencyMs + 0.2 * took / 1e3;
            if (!job.key().isEmpty()) {
              completedAtUs.put(job.key(), time.now());
            }
            job.done().run();
            startWaitingJobs();
          });
    }
  }

  /** {@code latency_ms} and {@code queue} as last refreshed. */
  float[] report() {
    if (time.now() >= reportAtUs) {
      reportedMs = (float) (smoothedLatencyMs * RandomStreams.uniform(random, 0.9, 1.1));
      reportedQueue = waiting.size();
      reportAtUs = time.now() + (long) RandomStreams.uniform(random, 140_000, 740_000);
    }
    return new float[] {reportedMs, reportedQueue};
  }
}

package dunlinhitch.experiments.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A model of a store with {@code CORES} cores and one queue of at most {@code QUEUE_LIMIT} parts.
 * The service time of a part is its work, times the slowdown factor of the store, divided by the
 * slow-start weight. After a start, this weight rises linearly from {@code COLD_WEIGHT} to 1 within
 * {@code SLOW_START_US}. A store in slow start that receives more than {@code OVERLOAD_FACTOR}
 * times its capacity within {@code OVERLOAD_WINDOW_US} collapses and stays down. Load reports are
 * refreshed every 140 to 740 ms. A part whose idempotency key was executed within the last 4 s is
 * answered without being executed again.
 */
final class SimulatedStore {
  static final int CORES = 2;
  static final double COLD_WEIGHT = 0.15;
  static final long SLOW_START_US = 17_000_000;
  static final double OVERLOAD_FACTOR = 3;
  static final long OVERLOAD_WINDOW_US = 1_500_000;
  private static final int QUEUE_LIMIT = 200;
  private static final long DEDUPLICATION_WINDOW_US = 4_000_000;

  /**
   * A queued part; {@code key} is its idempotency key or empty, {@code done} runs on completion.
   */
  private record Job(String key, long workUs, Runnable done) {}

  /** Result of submitting a part. */
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

  /**
   * Incremented on each start and stop; parts that were submitted in an earlier incarnation end
   * without a result.
   */
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
      int zone,
      int port,
      Scheduler time,
      UniformRandomProvider random,
      LongConsumer onCollapse) {
    this.name = name;
    this.cell = cell;
    this.zone = zone;
    this.port = port;
    this.time = time;
    this.random = random;
    this.onCollapse = onCollapse;
  }

  double slowStartWeight() {
    return startedUs == 0
        ? 1
        : Math.min(
            1, COLD_WEIGHT + (1 - COLD_WEIGHT) * (time.now() - startedUs) / (double) SLOW_START_US);
  }

  boolean isWarmingUp() {
    return startedUs > 0 && time.now() - startedUs < SLOW_START_US;
  }

  /** Starts the store with an empty queue and in slow start. */
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

  /** Submits a part; {@code done} runs when the part is completed. */
  Admission submit(String key, long workUs, Runnable done) {
    if (!running) {
      return Admission.DOWN;
    }
    trackWarmUpLoad(workUs);
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

  /**
   * Collapses a store in slow start if it received more work within the window than the overload
   * limit allows.
   */
  private void trackWarmUpLoad(long workUs) {
    if (!isWarmingUp()) {
      return;
    }
    recentWork.add(new long[] {time.now(), workUs});
    recentWorkUs += workUs;
    while (!recentWork.isEmpty() && recentWork.peek()[0] < time.now() - OVERLOAD_WINDOW_US) {
      recentWorkUs -= recentWork.poll()[1];
    }
    double capacityUs = OVERLOAD_FACTOR * CORES * slowStartWeight() * OVERLOAD_WINDOW_US;
    if (recentWorkUs > capacityUs) {
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
        // The part was executed before; the duplicate is answered without another execution.
        job.done().run();
        continue;
      }
      busy++;
      int startedIn = incarnation;
      long serviceUs = (long) (job.workUs() * slowdown / slowStartWeight());
      time.scheduleAfter(
          serviceUs,
          () -> {
            if (startedIn != incarnation) {
              return;
            }
            busy--;
            smoothedLatencyMs = 0.8 * smoothedLatencyMs + 0.2 * serviceUs / 1e3;
            if (!job.key().isEmpty()) {
              completedAtUs.put(job.key(), time.now());
            }
            job.done().run();
            startWaitingJobs();
          });
    }
  }

  /**
   * Returns the values of {@code latency_ms} and {@code queue} in the current load report. A report
   * that is due for a refresh is refreshed first.
   */
  float[] report() {
    if (time.now() >= reportAtUs) {
      reportedMs = (float) (smoothedLatencyMs * RandomStreams.uniform(random, 0.9, 1.1));
      reportedQueue = waiting.size();
      reportAtUs = time.now() + (long) RandomStreams.uniform(random, 140_000, 740_000);
    }
    return new float[] {reportedMs, reportedQueue};
  }
}

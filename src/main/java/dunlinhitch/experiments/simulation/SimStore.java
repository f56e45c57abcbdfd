package dunlinhitch.experiments.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Model of a store: {@code CORES} cores and one queue of at most {@code MOST_WAITING} parts. A
 * part's work is log-normal about its class's median; its time on a core is work x slow / warmth,
 * warmth rising evenly from {@code COLD} to 1 in {@code WARM_US} after a start. Sent more than
 * {@code OVERLOAD} times what it can do at that moment over {@code FALL_US}, while cold, it falls
 * over and stays down. Load reports are refreshed every 140 to 740 ms. A keyed part that ran is not
 * run again for 4 s.
 */
final class SimStore {
  static final int CORES = 2;
  static final double COLD = 0.15;
  static final long WARM_US = 17_000_000;
  static final double OVERLOAD = 3;
  static final long FALL_US = 1_500_000;
  private static final int MOST_WAITING = 200;
  private static final long REMEMBERED_US = 4_000_000;

  /** A part that came: who sent it, and how its end is told, or not. */
  private record Job(String key, long workUs, Runnable done) {}

  /** How a part ends here at once. */
  enum Taken {
    YES,
    TURNED_AWAY,
    DOWN
  }

  final String name;
  final int cell;
  final int room;
  int port;
  long startedUs;
  boolean running = true;
  boolean draining;
  boolean fallen;

  /** Counts its lives: what belongs to an earlier one ends without a word. */
  int life;

  double slow = 1;
  private final Scheduler time;
  private final UniformRandomProvider random;
  private final LongConsumer fell;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final Deque<long[]> sent = new ArrayDeque<>();
  private final Map<String, Long> ranUs = new HashMap<>();
  private int busy;
  private long sentUs;
  private float reportedMs;
  private float reportedQueue;
  private long reportAtUs;
  private double lastMs = 80;

  SimStore(
      String name,
      int cell,
      int room,
      int port,
      Scheduler time,
      UniformRandomProvider random,
      LongConsumer fell) {
    this.name = name;
    this.cell = cell;
    this.room = room;
    this.port = port;
    this.time = time;
    this.random = random;
    this.fell = fell;
  }

  double warmth() {
    return startedUs == 0
        ? 1
        : Math.min(1, COLD + (1 - COLD) * (time.now() - startedUs) / (double) WARM_US);
  }

  boolean isCold() {
    return startedUs > 0 && time.now() - startedUs < WARM_US;
  }

  /** Starts anew: what it had is gone, it is cold. */
  void start() {
    life++;
    running = true;
    draining = false;
    fallen = false;
    waiting.clear();
    sent.clear();
    sentUs = 0;
    ranUs.clear();
    busy = 0;
    startedUs = time.now();
  }

  void stop() {
    life++;
    running = false;
    waiting.clear();
    busy = 0;
  }

  /** A part is here; {@code done} is called when its answer leaves. */
  Taken take(String key, long workUs, Runnable done) {
    if (!running) {
      return Taken.DOWN;
    }
    count(workUs);
    if (fallen || !running) {
      return Taken.DOWN;
    }
    if (draining || waiting.size() >= MOST_WAITING) {
      return Taken.TURNED_AWAY;
    }
    waiting.add(new Job(key, workUs, done));
    begin();
    return Taken.YES;
  }

  /** The rule on cold stores: work sent within a window against what it can do in it. */
  private void count(long workUs) {
    if (!isCold()) {
      return;
    }
    sent.add(new long[] {time.now(), workUs});
    sentUs += workUs;
    while (!sent.isEmpty() && sent.peek()[0] < time.now() - FALL_US) {
      sentUs -= sent.poll()[1];
    }
    double can = OVERLOAD * CORES * warmth() * FALL_US;
    if (sentUs > can) {
      fallen = true;
      running = false;
      life++;
      fell.accept(sentUs);
    }
  }

  private void begin() {
    while (running && busy < CORES && !waiting.isEmpty()) {
      Job job = waiting.poll();
      if (!job.key().isEmpty()
          && ranUs.getOrDefault(job.key(), Long.MIN_VALUE / 2) > time.now() - REMEMBERED_US) {
        job.done().run(); // dropped as a repeat: its answer stands
        continue;
      }
      busy++;
      int mine = life;
      long took = (long) (job.workUs() * slow / warmth());
      time.after(
          took,
          () -> {
            if (mine != life) {
              return;
            }
            busy--;
            lastMs = 0.8 * lastMs + 0.2 * took / 1e3;
            if (!job.key().isEmpty()) {
              ranUs.put(job.key(), time.now());
            }
            job.done().run();
            begin();
          });
    }
  }

  /** {@code latency_ms} and {@code queue} as last refreshed. */
  float[] report() {
    if (time.now() >= reportAtUs) {
      reportedMs = (float) (lastMs * Streams.between(random, 0.9, 1.1));
      reportedQueue = waiting.size();
      reportAtUs = time.now() + (long) Streams.between(random, 140_000, 740_000);
    }
    return new float[] {reportedMs, reportedQueue};
  }
}

package dunlinhitch.experiments.fakes;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A store with so many cores and one queue: each part takes its time on a core, in the order of
 * coming; what was given up leaves the queue, what is being worked on is finished. Model: M/D/c
 * with work {@code workUs}, a first pass {@code price} of it.
 */
public class WorkingStore extends FrameStore {
  private record Job(String id, long us, Runnable done) {}

  private final Vertx vertx;
  private final int cores;
  private final long workUs;
  private final double price;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private int busy;
  private volatile long workedUs;

  /**
   * What timers were late by so far is taken off the next job, so that a core does its share over
   * time.
   */
  private double lateUs;

  public WorkingStore(Vertx vertx, String name, int cores, long workUs, double price)
      throws Exception {
    super(vertx, name);
    this.vertx = vertx;
    this.cores = cores;
    this.workUs = workUs;
    this.price = price;
  }

  /** Microseconds of work done so far, over all cores. */
  public long workedUs() {
    return workedUs;
  }

  @Override
  protected void work(Seen part, boolean onlyFirst, Runnable done) {
    waiting.add(new Job(part.id(), onlyFirst ? (long) (price * workUs) : workUs, done));
    begin();
  }

  @Override
  protected void dropped(String partId) {
    waiting.removeIf(job -> job.id().equals(partId));
  }

  @Override
  protected String report() {
    return "latency_ms=" + workUs / 1000 + ",queue=" + waiting.size();
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // written by the event loop alone, read by others
  private void begin() {
    while (busy < cores && !waiting.isEmpty()) {
      Job job = waiting.poll();
      busy++;
      long from = System.nanoTime();
      workedUs += job.us();
      long ms = Math.max(0, Math.round((job.us() - lateUs) / 1000));
      Runnable over =
          () -> {
            lateUs += (System.nanoTime() - from) / 1e3 - job.us();
            lateUs = Math.max((double) -workUs, Math.min((double) (4 * workUs), lateUs));
            busy--;
            job.done().run();
            begin();
          };
      if (ms == 0) {
        vertx.runOnContext(v -> over.run());
      } else {
        vertx.setTimer(ms, t -> over.run());
      }
    }
  }
}

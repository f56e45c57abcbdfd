package dunlinhitch.experiments.fakes;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A fake store with several cores and one FIFO queue (M/D/c): each part occupies a core for its
 * service time. A cancelled part is removed from the queue, but a part that already occupies a core
 * is completed.
 */
public class QueueingStore extends FrameStore {
  private record Job(String id, long serviceUs, Runnable done) {}

  private final Vertx vertx;
  private final int cores;
  private final long workUs;
  private final double firstPassShare;
  private final Deque<Job> queue = new ArrayDeque<>();
  private int busyCores;
  private volatile long workedUs;

  /**
   * Total time by which the timers have fired late so far, in microseconds. It is subtracted from
   * the next service time, so that the mean service rate is exact.
   */
  private double timerLagUs;

  /**
   * Listens on a free loopback port.
   *
   * @param workUs service time of a part in microseconds
   * @param firstPassShare service time of a first pass, as a share of {@code workUs}
   */
  public QueueingStore(Vertx vertx, String name, int cores, long workUs, double firstPassShare)
      throws Exception {
    super(vertx, name);
    this.vertx = vertx;
    this.cores = cores;
    this.workUs = workUs;
    this.firstPassShare = firstPassShare;
  }

  /** Returns the sum of the service times of all parts started so far, in microseconds. */
  public long workedUs() {
    return workedUs;
  }

  @Override
  protected void work(ReceivedPart part, boolean onlyFirst, Runnable done) {
    queue.add(new Job(part.id(), onlyFirst ? (long) (firstPassShare * workUs) : workUs, done));
    startJobs();
  }

  @Override
  protected void onCancelled(NetSocket socket, String partId) {
    queue.removeIf(job -> job.id().equals(partId));
  }

  @Override
  protected String loadReport() {
    return "latency_ms=" + workUs / 1000 + ",queue=" + queue.size();
  }

  // Non-atomic updates of the volatile field workedUs are safe, because only the event loop writes
  // it. Other threads only read it.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void startJobs() {
    while (busyCores < cores && !queue.isEmpty()) {
      Job job = queue.poll();
      busyCores++;
      long startNanos = System.nanoTime();
      workedUs += job.serviceUs();
      long ms = Math.max(0, Math.round((job.serviceUs() - timerLagUs) / 1000));
      Runnable finish =
          () -> {
            timerLagUs += (System.nanoTime() - startNanos) / 1e3 - job.serviceUs();
            timerLagUs = Math.max((double) -workUs, Math.min((double) (4 * workUs), timerLagUs));
            busyCores--;
            job.done().run();
            startJobs();
          };
      if (ms == 0) {
        vertx.runOnContext(v -> finish.run());
      } else {
        vertx.setTimer(ms, t -> finish.run());
      }
    }
  }
}

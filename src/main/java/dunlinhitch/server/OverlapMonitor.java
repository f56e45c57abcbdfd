package dunlinhitch.server;

import dunlinhitch.core.Event;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Watches whether another process of this broker is running, as in a hot restart, and reports the
 * start and the end of such an overlap. Each process uses half of the shared budgets until the
 * other has provably ended. A passed shutdown deadline does not prove this, because a process may
 * still be running after its deadline.
 *
 * <p>Not thread-safe; used on the event loop.
 */
final class OverlapMonitor {
  private static final long POLL_INTERVAL_MS = 100;
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final ProcessLocks locks;
  private final LongSupplier clock;
  private final Consumer<Event> events;
  private final Consumer<String> log;
  private long timer = NO_TIMER;
  private boolean overlapping;
  private boolean polling;

  /**
   * Creates a monitor that is not started yet.
   *
   * @param folder shared by the processes of this broker only
   */
  OverlapMonitor(
      Vertx vertx, Path folder, LongSupplier clock, Consumer<Event> events, Consumer<String> log) {
    this.vertx = vertx;
    this.clock = clock;
    this.events = events;
    this.log = log;
    locks = new ProcessLocks(folder);
  }

  /**
   * Registers this process and starts to watch for others.
   *
   * @return whether another process is running; fails if the folder cannot be used
   */
  Future<Boolean> start() {
    return vertx
        .executeBlocking(
            () -> {
              locks.acquire();
              return locks.countOthers();
            })
        .map(
            others -> {
              onCounted(others);
              timer = vertx.setPeriodic(POLL_INTERVAL_MS, ignored -> poll());
              return overlapping;
            });
  }

  /** Stops watching; the last reported state remains valid. */
  void stop() {
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
      timer = NO_TIMER;
    }
  }

  /** Deregisters this process; needed only if the virtual machine continues to run. */
  Future<Void> close() {
    stop();
    return vertx.executeBlocking(
        () -> {
          locks.close();
          return null;
        });
  }

  private void poll() {
    if (polling) {
      return;
    }
    polling = true;
    vertx
        .executeBlocking(locks::countOthers)
        .onComplete(
            counted -> {
              polling = false;
              if (counted.succeeded() && timer != NO_TIMER) {
                onCounted(counted.result());
              } // if counting fails, the last known state is kept
            });
  }

  private void onCounted(int others) {
    if (others > 0 == overlapping) {
      return;
    }
    overlapping = others > 0;
    events.accept(new Event.OverlapStarted(overlapping ? Long.MAX_VALUE : clock.getAsLong()));
    log.accept(
        overlapping
            ? "another process of this broker is running: using half of the shared budgets"
            : "no other process of this broker is running any more: using the full budgets again");
  }
}

package dunlinhitch.server;

import dunlinhitch.core.Event;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Watches whether another process of this broker is alive, as in a hot restart, and reports the
 * begin and the end of such an overlap: what both may do together is halved between them until the
 * other is known to have ended. That its time to end has passed would not show that.
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
   * Creates a monitor that does nothing yet.
   *
   * @param folder shared by the processes of this broker and by nothing else
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
   * Makes this process known and watches for others from now on.
   *
   * @return whether another one is alive; fails where the folder can not be used
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

  /** Stops watching; what was reported last stays. */
  void stop() {
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
      timer = NO_TIMER;
    }
  }

  /** Makes the end of this process known; for one that goes on as a thread among others. */
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
              } // else nothing is known: what was known last stays
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
            ? "another process of this broker is alive: shared budgets are halved"
            : "no other process of this broker is alive any more: budgets are whole again");
  }
}

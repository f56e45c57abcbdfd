package dunlinhitch.backend.frames;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import java.util.function.BooleanSupplier;

/**
 * Detects a connection that is open but no longer transmits data. While attempts are in flight and
 * nothing is received, a liveness check is sent to the store. Even a busy store replies at once,
 * because liveness checks bypass its queue. Without a reply the connection is closed.
 *
 * <p>Not thread-safe; owned by its connection and used on the event loop only.
 */
final class LivenessCheck {
  /** The timeout of the reply is the connect timeout divided by this. */
  private static final int REPLY_TIMEOUT_DIVISOR = 2;

  /** The connection that is checked. */
  interface Target {
    boolean isClosed();

    boolean hasInFlightAttempts();

    /**
     * The time at which the oldest attempt in flight was sent, in microseconds; requires an attempt
     * in flight.
     */
    long oldestSentUs();

    /** The time at which bytes were last received, in microseconds. */
    long lastReceivedUs();

    void sendLivenessCheck();

    void close();
  }

  private final FrameTransport.Shared shared;
  private final BooleanSupplier mayCheck;
  private final Target target;

  /** True while a timer of this check is pending. */
  private boolean scheduled;

  /**
   * Creates a check that has not started.
   *
   * @param mayCheck returns false if nothing new may be sent to the store, not even a check
   */
  LivenessCheck(FrameTransport.Shared shared, BooleanSupplier mayCheck, Target target) {
    this.shared = shared;
    this.mayCheck = mayCheck;
    this.target = target;
  }

  /** Schedules a check if one is needed and none is scheduled or running. */
  void schedule() {
    if (scheduled
        || target.isClosed()
        || !target.hasInFlightAttempts()
        || !mayCheck.getAsBoolean()) {
      return;
    }
    long dueUs =
        Math.max(target.lastReceivedUs(), target.oldestSentUs())
            + shared.livenessCheckDelay.delayUs(shared.limits().connectTimeoutUs());
    if (nowUs() >= dueUs) {
      check();
      return;
    }
    scheduled = true;
    runAt(
        dueUs,
        () -> {
          scheduled = false;
          schedule();
        });
  }

  private void check() {
    scheduled = true;
    long sentUs = nowUs();
    shared.events.accept(new Event.ConditionCounted(Counter.CONNECTIONS_CHECKED));
    target.sendLivenessCheck();
    long replyDueUs = sentUs + shared.limits().connectTimeoutUs() / REPLY_TIMEOUT_DIVISOR;
    // the second timer lets the event loop first read what has arrived in the meantime
    runAt(replyDueUs, () -> runAt(nowUs(), () -> onReplyDue(sentUs)));
  }

  private void onReplyDue(long sentUs) {
    scheduled = false;
    if (target.lastReceivedUs() >= sentUs) {
      schedule();
      return;
    }
    if (target.isClosed()) {
      return;
    }
    shared.events.accept(new Event.ConditionCounted(Counter.CONNECTIONS_SILENT));
    target.close();
  }

  private long nowUs() {
    return shared.clock.getAsLong();
  }

  private void runAt(long dueUs, Runnable task) {
    shared.vertx.setTimer(MicroClock.timerMs(nowUs(), dueUs), timer -> task.run());
  }
}

package dunlinhitch.backend.flight;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import java.util.Optional;

/**
 * Detects a channel that stays open although nothing crosses it any more: while attempts are in
 * flight and the store sends nothing, it is sent a health check. Not thread-safe; its transport
 * owns it on the event loop.
 */
final class FlightLivenessCheck {
  /** The check is sent after the connect timeout divided by this. */
  private static final int DELAY_DIVISOR = 3;

  /** The reply is awaited for the connect timeout divided by this. */
  private static final int REPLY_TIMEOUT_DIVISOR = 2;

  /** What is checked. */
  interface Target {
    /** True where attempts are in flight to a store that may be sent a check. */
    boolean needsLivenessCheck();

    /** False where the loss of the channel is of no interest any more. */
    boolean isActive();

    /** When the oldest call in flight was sent, in microseconds; there must be one. */
    long oldestSentUs();

    /** When the store replied last, in microseconds. */
    long lastReplyUs();

    void onAlive();

    void onUnresponsive();
  }

  private final FlightTransports shared;
  private final FlightActions actions;
  private final Target target;

  /** True while a timer or a check is running. */
  private boolean scheduled;

  FlightLivenessCheck(FlightTransports shared, FlightActions actions, Target target) {
    this.shared = shared;
    this.actions = actions;
    this.target = target;
  }

  /** Starts the check where it is needed and not running yet. */
  void schedule() {
    if (scheduled || !target.needsLivenessCheck()) {
      return;
    }
    scheduled = true;
    long delayUs = shared.limits().connectTimeoutUs() / DELAY_DIVISOR;
    long dueUs = Math.max(target.lastReplyUs(), target.oldestSentUs()) + delayUs;
    long nowUs = shared.nowUs();
    if (nowUs >= dueUs) {
      check(nowUs);
      return;
    }
    shared
        .vertx()
        .setTimer(
            MicroClock.timerMs(nowUs, dueUs),
            timer -> {
              scheduled = false;
              schedule();
            });
  }

  private void check(long sentUs) {
    shared.events().accept(new Event.ConditionCounted(Counter.CONNECTIONS_CHECKED));
    long replyDueUs = sentUs + shared.limits().connectTimeoutUs() / REPLY_TIMEOUT_DIVISOR;
    actions.checkHealth(replyDueUs, report -> onResult(sentUs, report));
  }

  private void onResult(long sentUs, Optional<String> report) {
    scheduled = false;
    if (report.isPresent()) {
      target.onAlive();
    } else if (target.lastReplyUs() < sentUs && target.isActive()) {
      shared.events().accept(new Event.ConditionCounted(Counter.CONNECTIONS_SILENT));
      target.onUnresponsive();
    }
    schedule();
  }
}

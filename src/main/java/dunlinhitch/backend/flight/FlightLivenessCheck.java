package dunlinhitch.backend.flight;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import java.util.Optional;

/**
 * Detects a channel that is open but no longer transmits data: if attempts are in flight and
 * nothing is received from the store, a health check is sent to it. Not thread-safe; owned by its
 * transport and used on the event loop only.
 */
final class FlightLivenessCheck {
  /** The delay before a check is the connect timeout divided by this. */
  private static final int DELAY_DIVISOR = 3;

  /** The timeout of the reply is the connect timeout divided by this. */
  private static final int REPLY_TIMEOUT_DIVISOR = 2;

  /** The transport that is checked. */
  interface Target {
    /** True if attempts are in flight and the store may be sent a check. */
    boolean needsLivenessCheck();

    /** False after the transport was closed or disabled; an unanswered check is then ignored. */
    boolean isActive();

    /**
     * The time at which the oldest call in flight was sent, in microseconds; requires a call in
     * flight.
     */
    long oldestSentUs();

    /** The time of the store's last reply, in microseconds. */
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

  /** Schedules a check if one is needed and none is scheduled or running. */
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

package dunlinhitch.core;

import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.endpoints.TimingWheel;

/**
 * Tracks how current the endpoint list of discovery is. A period without contact has two
 * consequences: the list is reported as possibly out of date once the period exceeds a limit, and
 * the first list received afterwards may contain notifications sent at any time during the period.
 * Owned by {@link EndpointStage}; not thread-safe.
 */
final class DiscoveryFreshness {
  /**
   * Time, in microseconds, after which a notification of discovery counts as received by protocol,
   * whether or not it has arrived. The time starts when discovery sends the notification.
   */
  private static final long NOTIFICATION_LIMIT_US = 6_000_000;

  private final TurnContext context;
  private final Counters counters;

  /**
   * The time at which the list counts as out of date if contact is not restored, in microseconds.
   */
  private long staleAtUs = TimingWheel.NEVER;

  private boolean stale;

  /**
   * Start of the current period without data from discovery, in microseconds; 0 until the first
   * list is read, {@link TimingWheel#NEVER} if there is no such period. The notifications in the
   * next list may have been sent at any time since that start.
   */
  private long unreadSinceUs;

  /**
   * True while there is no contact with the current discovery address. Updates may still arrive
   * from the previous address.
   */
  private boolean unavailable;

  DiscoveryFreshness(TurnContext context, Counters counters) {
    this.context = context;
    this.counters = counters;
  }

  /** Handles the loss of contact with discovery, which began at {@code sinceUs}. */
  void onUnavailable(long sinceUs) {
    staleAtUs = stale ? TimingWheel.NEVER : sinceUs + NOTIFICATION_LIMIT_US;
    unreadSinceUs = Math.min(unreadSinceUs, sinceUs);
    unavailable = true;
  }

  void onRecovered() {
    unavailable = false;
    staleAtUs = TimingWheel.NEVER;
    if (stale) {
      stale = false;
      context.log("discovery is reachable again");
    }
  }

  /** The earliest time at which the notifications in the current update may have been sent. */
  long earliestNotificationUs() {
    return Math.min(context.unreadSinceUs(), unreadSinceUs);
  }

  /**
   * Handles an update of the endpoint list that has been applied. A cached list does not end a
   * period without data, because it contains no information about the time since it was saved.
   */
  void onUpdateApplied(ServerListKind kind) {
    if (!unavailable && kind != ServerListKind.CACHED) {
      unreadSinceUs = TimingWheel.NEVER;
    }
  }

  /**
   * Reports the list to operators as possibly out of date once {@link #NOTIFICATION_LIMIT_US} has
   * passed without contact. The broker continues to use the list: it cannot determine which
   * endpoints have changed, and rejecting all of them would do more harm than using an outdated
   * list.
   */
  void advance() {
    if (context.nowUs() < staleAtUs) {
      return;
    }
    staleAtUs = TimingWheel.NEVER;
    stale = true;
    counters.add(Counter.ENDPOINT_LIST_STALE);
    context.log(
        "no contact with discovery for "
            + NOTIFICATION_LIMIT_US / 1_000_000
            + " s: the endpoint list may be out of date");
  }

  /** The latest time at which {@link #advance} must be called, in microseconds. */
  long nextUs() {
    return staleAtUs;
  }
}

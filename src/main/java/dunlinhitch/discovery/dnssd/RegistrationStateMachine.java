package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import java.util.random.RandomGenerator;
import org.xbill.DNS.Message;
import org.xbill.DNS.Update;

/**
 * State machine that decides when the broker's records are registered, refreshed and withdrawn. A
 * registration or refresh is sent only if no update is in flight. The first withdrawal is sent
 * immediately, even if an update is in flight. Performs no I/O and reads no clock. Not thread-safe.
 * Times are in microseconds.
 */
final class RegistrationStateMachine {
  /** Share of the lease after which the registration is refreshed. */
  private static final double REFRESH_FRACTION = 0.8;

  /** A refresh is earlier by up to 1/10 of the delay, so that brokers do not refresh together. */
  private static final int REFRESH_JITTER_DIVISOR = 10;

  private static final JitteredBackoff RETRY = new JitteredBackoff(500_000, 60_000_000, 0.75, 0.5);
  private static final long US_PER_SECOND = 1_000_000;

  /** An update to send, and whether it withdraws the records. */
  record PendingUpdate(Update update, boolean withdrawal) {}

  private enum Phase {
    /** The broker does not serve yet. */
    IDLE,
    /** The first registration is due. */
    PENDING,
    /** A registration or refresh is in flight or awaits its retry. */
    REGISTERING,
    REGISTERED,
    /** The withdrawal is in flight or awaits its retry. */
    WITHDRAWING,
    WITHDRAWN
  }

  private final RegistrationUpdates updates;
  private final RandomGenerator random;
  private Phase phase = Phase.IDLE;
  private long dueUs = TimingWheel.NEVER;
  private int failures;

  /** When the registration in flight was sent, which is when its lease starts. */
  private long sentUs;

  RegistrationStateMachine(ServiceRegistration registration, RandomGenerator random) {
    updates = new RegistrationUpdates(registration);
    this.random = random;
  }

  /** Requests registration; the broker is ready to serve. */
  void onReady(long nowUs) {
    if (phase == Phase.IDLE) {
      phase = Phase.PENDING;
      dueUs = nowUs;
    }
  }

  /** Requests withdrawal because the broker is shutting down, even if an update is in flight. */
  void onShutdown(long nowUs) {
    boolean mayBeRegistered = phase != Phase.IDLE && phase != Phase.WITHDRAWN;
    phase = mayBeRegistered ? Phase.WITHDRAWING : Phase.WITHDRAWN;
    failures = 0;
    dueUs = mayBeRegistered ? nowUs : TimingWheel.NEVER;
  }

  /** Returns the latest time at which {@link #startUpdate} must be called. */
  long nextUs() {
    return dueUs;
  }

  /** Returns true while the server has the records and no refresh is in flight. */
  boolean isRegistered() {
    return phase == Phase.REGISTERED;
  }

  /** Returns true once the server has withdrawn the records, or if they were never registered. */
  boolean isWithdrawn() {
    return phase == Phase.WITHDRAWN;
  }

  /**
   * Returns the update to send now, or null. The caller reports the result of the update by calling
   * {@link #onAccepted} or {@link #onFailed}.
   */
  PendingUpdate startUpdate(long nowUs) {
    if (nowUs < dueUs) {
      return null;
    }
    dueUs = TimingWheel.NEVER;
    if (phase == Phase.WITHDRAWING) {
      return new PendingUpdate(updates.withdraw(), true);
    }
    phase = Phase.REGISTERING;
    sentUs = nowUs;
    return new PendingUpdate(updates.register(), false);
  }

  /** Handles an accepted update and schedules a refresh before the granted lease expires. */
  void onAccepted(Message response, boolean withdrawal) {
    failures = 0;
    if (withdrawal) {
      phase = Phase.WITHDRAWN;
    } else if (phase == Phase.REGISTERING) {
      phase = Phase.REGISTERED;
      long leaseUs = updates.grantedLeaseS(response) * US_PER_SECOND;
      double jitter = 1 - random.nextDouble() / REFRESH_JITTER_DIVISOR;
      dueUs = sentUs + (long) (leaseUs * REFRESH_FRACTION * jitter);
    }
  }

  /** Handles an update that was rejected or not answered; it is retried with backoff. */
  void onFailed(long nowUs, boolean withdrawal) {
    if (phase == (withdrawal ? Phase.WITHDRAWING : Phase.REGISTERING)) {
      dueUs = nowUs + RETRY.delayUs(failures++, random);
    }
  }
}

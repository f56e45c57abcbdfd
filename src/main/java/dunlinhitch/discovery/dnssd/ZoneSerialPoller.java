package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import org.xbill.DNS.Message;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/**
 * Schedules polls of a zone's SOA serial and detects changes. Serials are compared for equality
 * only, so serial number arithmetic (RFC 1982) is not needed. Performs no I/O and reads no clock.
 *
 * <p>With a push server, the serial is also polled during a push session, less often: a session
 * whose connection has fallen silent looks like one of a zone that does not change.
 */
final class ZoneSerialPoller {
  /** Result of a poll. */
  enum Result {
    /** The serial is that of the last response. */
    UNCHANGED,
    /** The first serial was received, so it is unknown whether the zone has changed. */
    FIRST,
    /** The serial differs from that of the last response. */
    CHANGED,
    /** The response has no serial. */
    NO_SERIAL,
    /** No response was received. */
    FAILED
  }

  /** Interval of the polls without a push session if none is configured. */
  static final long DEFAULT_INTERVAL_US = 1_000_000;

  /** Minimum interval of the polls during a push session. */
  static final long SESSION_INTERVAL_US = 2_000_000;

  /** Delay of the next poll after a failed one. */
  private static final long RETRY_US = 250_000;

  /** Lower than any serial, since serials are unsigned. */
  private static final long NO_SERIAL = -1;

  private final long intervalUs;
  private final long sessionIntervalUs;
  private long serial = NO_SERIAL;
  private long dueUs;
  private boolean polling;
  private boolean sessionUp;

  /**
   * Creates a poller.
   *
   * @param intervalUs interval of the polls; with 0 or less, they are disabled, or have a default
   *     interval if there is a push server
   * @param hasPushServer true if a push server is configured
   */
  ZoneSerialPoller(long intervalUs, boolean hasPushServer, long nowUs) {
    boolean isDefault = intervalUs <= 0 && hasPushServer;
    this.intervalUs = isDefault ? DEFAULT_INTERVAL_US : intervalUs;
    sessionIntervalUs = Math.max(this.intervalUs, SESSION_INTERVAL_US);
    dueUs = this.intervalUs <= 0 ? TimingWheel.NEVER : nowUs;
  }

  /** Returns the latest time at which {@link #startPoll} must be called. */
  long nextUs() {
    return polling ? TimingWheel.NEVER : dueUs;
  }

  /**
   * Returns true if the serial must be polled now. The caller ends each poll by calling {@link
   * #onResponse}. A poll is due at once when a push session has ended.
   */
  boolean startPoll(long nowUs, boolean pushSessionUp) {
    if (sessionUp && !pushSessionUp) {
      dueUs = nowUs;
    }
    sessionUp = pushSessionUp;
    if (polling || nowUs < dueUs) {
      return false;
    }
    dueUs = nowUs + (pushSessionUp ? sessionIntervalUs : intervalUs);
    polling = true;
    return true;
  }

  /** Ends a poll; {@code response} is null if none was received. */
  Result onResponse(long nowUs, Message response) {
    polling = false;
    if (response == null) {
      dueUs = Math.min(dueUs, nowUs + RETRY_US);
      return Result.FAILED;
    }
    long received = serialOf(response);
    if (received == NO_SERIAL) {
      return Result.NO_SERIAL;
    }
    long previous = serial;
    serial = received;
    if (received == previous) {
      return Result.UNCHANGED;
    }
    return previous == NO_SERIAL ? Result.FIRST : Result.CHANGED;
  }

  /**
   * Returns the serial of the answer, or that of the authority section if the polled name is not
   * the apex of its zone (RFC 2308 section 3).
   */
  private static long serialOf(Message response) {
    long answered = serialOf(response, Section.ANSWER);
    return answered == NO_SERIAL ? serialOf(response, Section.AUTHORITY) : answered;
  }

  private static long serialOf(Message response, int section) {
    for (Record record : response.getSection(section)) {
      if (record instanceof SOARecord soa) {
        return soa.getSerial();
      }
    }
    return NO_SERIAL;
  }
}

package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import org.xbill.DNS.Message;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/**
 * Schedules polls of a zone's SOA serial and detects changes. Serials are compared for equality
 * only, so serial number arithmetic (RFC 1982) is not needed. Performs no I/O and reads no clock.
 */
final class ZoneSerialPoller {
  /** Result of a poll. */
  enum Result {
    /** The serial is unchanged, or no serial was received. */
    UNCHANGED,
    /** The first serial was received, so it is unknown whether the zone has changed. */
    FIRST,
    /** The serial differs from that of the last response. */
    CHANGED
  }

  /** Lower than any serial, since serials are unsigned. */
  private static final long NO_SERIAL = -1;

  private final long intervalUs;
  private long serial = NO_SERIAL;
  private long dueUs;
  private boolean polling;

  /** Creates a poller; an interval of 0 or less disables it. */
  ZoneSerialPoller(long intervalUs, long nowUs) {
    this.intervalUs = intervalUs;
    dueUs = intervalUs <= 0 ? TimingWheel.NEVER : nowUs;
  }

  /** Returns the latest time at which {@link #startPoll} must be called. */
  long nextUs() {
    return polling ? TimingWheel.NEVER : dueUs;
  }

  /**
   * Returns true if the serial must be polled now. The caller ends each poll by calling {@link
   * #onResponse}. A poll that becomes due during a push session is skipped.
   */
  boolean startPoll(long nowUs, boolean pushSessionUp) {
    if (polling || nowUs < dueUs) {
      return false;
    }
    dueUs = nowUs + intervalUs;
    polling = !pushSessionUp;
    return polling;
  }

  /** Ends a poll; {@code response} is null if none was received. */
  Result onResponse(Message response) {
    polling = false;
    long previous = serial;
    if (response != null) {
      for (Record record : response.getSection(Section.ANSWER)) {
        serial = record instanceof SOARecord soa ? soa.getSerial() : serial;
      }
    }
    if (serial == previous) {
      return Result.UNCHANGED;
    }
    return previous == NO_SERIAL ? Result.FIRST : Result.CHANGED;
  }
}

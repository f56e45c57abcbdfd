package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import org.xbill.DNS.Message;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/**
 * When the serial of the zone is polled, and whether it has changed. Serials are compared for
 * equality only, so that their order (RFC 1982) does not matter. No I/O and no clock.
 */
final class ZoneSerialPoller {
  /** What a response says of the zone. */
  enum Result {
    /** The serial is the one of the last response, or none came. */
    UNCHANGED,
    /** The first serial: whether the zone changed before it is unknown. */
    FIRST,
    /** The zone has changed since the last response. */
    CHANGED
  }

  /** Below every serial, which are unsigned. */
  private static final long NO_SERIAL = -1;

  private final long intervalUs;
  private long serial = NO_SERIAL;
  private long dueUs;
  private boolean polling;

  /** An interval of 0 or less: the serial is never polled. */
  ZoneSerialPoller(long intervalUs, long nowUs) {
    this.intervalUs = intervalUs;
    dueUs = intervalUs <= 0 ? TimingWheel.NEVER : nowUs;
  }

  /** When to call {@link #startPoll}. */
  long nextUs() {
    return polling ? TimingWheel.NEVER : dueUs;
  }

  /**
   * True where the serial is to be polled now, which ends with one {@link #onResponse}. A poll that
   * falls due during a push session is skipped.
   */
  boolean startPoll(long nowUs, boolean pushSessionUp) {
    if (polling || nowUs < dueUs) {
      return false;
    }
    dueUs = nowUs + intervalUs;
    polling = !pushSessionUp;
    return polling;
  }

  /** The poll has ended; {@code response} is null where none came. */
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

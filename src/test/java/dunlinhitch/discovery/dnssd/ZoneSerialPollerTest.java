package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.endpoints.TimingWheel;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/** Times of the polls of a zone's SOA serial, and the interpretation of the responses. */
class ZoneSerialPollerTest {
  private static final long INTERVAL_US = 1_000;
  private final ZoneSerialPoller poller = new ZoneSerialPoller(INTERVAL_US, false, 0);

  private static Message responseWithSerial(long serial) {
    return responseWithSerial(serial, Section.ANSWER);
  }

  private static Message responseWithSerial(long serial, int section) {
    Name zone = Names.parse("example.org.");
    Message response = new Message();
    response.addRecord(new SOARecord(zone, DClass.IN, 1, zone, zone, serial, 1, 1, 1, 1), section);
    return response;
  }

  @Test
  void onlyADifferentSerialIsAChange() {
    assertTrue(poller.startPoll(0, false));
    assertEquals(TimingWheel.NEVER, poller.nextUs());
    assertFalse(poller.startPoll(2 * INTERVAL_US, false), "a second poll while one is in flight");
    assertEquals(ZoneSerialPoller.Result.FIRST, poller.onResponse(0, responseWithSerial(7)));
    assertEquals(INTERVAL_US, poller.nextUs());
    assertEquals(ZoneSerialPoller.Result.UNCHANGED, poller.onResponse(0, responseWithSerial(7)));
    assertEquals(ZoneSerialPoller.Result.FAILED, poller.onResponse(0, null));
    assertEquals(ZoneSerialPoller.Result.NO_SERIAL, poller.onResponse(0, new Message()));
    assertEquals(ZoneSerialPoller.Result.CHANGED, poller.onResponse(0, responseWithSerial(6)));
  }

  /** Guards against a push session that has fallen silent while nothing else looks at the zone. */
  @Test
  void polledLessOftenDuringAPushSessionAndAtOnceAfterIt() {
    assertTrue(poller.startPoll(0, true));
    poller.onResponse(0, responseWithSerial(7));
    assertEquals(ZoneSerialPoller.SESSION_INTERVAL_US, poller.nextUs());
    assertFalse(poller.startPoll(ZoneSerialPoller.SESSION_INTERVAL_US - 1, true));
    assertTrue(poller.startPoll(INTERVAL_US, false), "the session has ended");
    poller.onResponse(INTERVAL_US, responseWithSerial(7));
    assertEquals(2 * INTERVAL_US, poller.nextUs());
  }

  /** Guards against changes that are followed by nothing while there is no push session. */
  @Test
  void withAPushServerThereIsAlwaysAnInterval() {
    ZoneSerialPoller standard = new ZoneSerialPoller(0, true, 0);
    assertTrue(standard.startPoll(0, false));
    standard.onResponse(0, responseWithSerial(7));
    assertEquals(ZoneSerialPoller.DEFAULT_INTERVAL_US, standard.nextUs());
  }

  /** Guards against a lost poll that doubles the time in which a change is seen. */
  @Test
  void aFailedPollIsRepeatedSoon() {
    ZoneSerialPoller standard = new ZoneSerialPoller(0, true, 0);
    assertTrue(standard.startPoll(0, true));
    standard.onResponse(1_000, null);
    assertTrue(standard.nextUs() < ZoneSerialPoller.SESSION_INTERVAL_US / 2);
  }

  /** Guards against a domain that is no apex of a zone, whose serial was never seen. */
  @Test
  void theSerialOfAnEnclosingZoneCounts() {
    int section = Section.AUTHORITY;
    assertEquals(
        ZoneSerialPoller.Result.FIRST, poller.onResponse(0, responseWithSerial(7, section)));
    assertEquals(
        ZoneSerialPoller.Result.CHANGED, poller.onResponse(0, responseWithSerial(8, section)));
  }

  @Test
  void anIntervalOfZeroDisablesPolling() {
    ZoneSerialPoller disabled = new ZoneSerialPoller(0, false, 0);
    assertFalse(disabled.startPoll(1_000_000, false));
    assertEquals(TimingWheel.NEVER, disabled.nextUs());
  }
}

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
  private final ZoneSerialPoller poller = new ZoneSerialPoller(INTERVAL_US, 0);

  private static Message responseWithSerial(long serial) {
    Name zone = Names.parse("example.org.");
    Message response = new Message();
    response.addRecord(
        new SOARecord(zone, DClass.IN, 1, zone, zone, serial, 1, 1, 1, 1), Section.ANSWER);
    return response;
  }

  @Test
  void onlyADifferentSerialIsAChange() {
    assertTrue(poller.startPoll(0, false));
    assertEquals(TimingWheel.NEVER, poller.nextUs());
    assertFalse(poller.startPoll(2 * INTERVAL_US, false), "a second poll while one is in flight");
    assertEquals(ZoneSerialPoller.Result.FIRST, poller.onResponse(responseWithSerial(7)));
    assertEquals(INTERVAL_US, poller.nextUs());
    assertEquals(ZoneSerialPoller.Result.UNCHANGED, poller.onResponse(responseWithSerial(7)));
    assertEquals(ZoneSerialPoller.Result.UNCHANGED, poller.onResponse(null));
    assertEquals(ZoneSerialPoller.Result.CHANGED, poller.onResponse(responseWithSerial(6)));
  }

  @Test
  void aPollIsSkippedDuringAPushSession() {
    assertFalse(poller.startPoll(0, true));
    assertEquals(INTERVAL_US, poller.nextUs());
    assertTrue(poller.startPoll(INTERVAL_US, false));
  }

  @Test
  void anIntervalOfZeroDisablesPolling() {
    ZoneSerialPoller disabled = new ZoneSerialPoller(0, 0);
    assertFalse(disabled.startPoll(1_000_000, false));
    assertEquals(TimingWheel.NEVER, disabled.nextUs());
  }
}

package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.discovery.dnssd.RegistrationStateMachine.PendingUpdate;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Section;

/** Times at which the broker's records are registered, refreshed and withdrawn. */
class RegistrationStateMachineTest {
  private static final long US_PER_SECOND = 1_000_000;

  /** EDNS option of an update lease. */
  private static final int LEASE_OPTION = 2;

  private final RegistrationStateMachine registration =
      new RegistrationStateMachine(
          new ServiceRegistration(
              new ServiceRegistration.OwnerNames(
                  Names.parse("example.org."),
                  Names.parse("_broker._tcp.example.org."),
                  Names.parse("n0._broker._tcp.example.org."),
                  Names.parse("n0.example.org.")),
              "127.0.0.1",
              7070,
              List.of(),
              120,
              3_600),
          new SplittableRandom(8));
  private long nowUs = 1_000 * US_PER_SECOND;

  @Test
  void registersWhenReadyRefreshesBeforeTheLeaseEndsAndWithdrawsAtShutdown() {
    assertEquals(
        null, registration.startUpdate(nowUs), "nothing is registered before the broker is ready");
    registration.onReady(nowUs);
    PendingUpdate first = registration.startUpdate(nowUs);
    assertTrue(!first.withdrawal() && first.update().getSection(Section.UPDATE).size() >= 4);
    assertEquals(null, registration.startUpdate(nowUs), "a second update while one is in flight");
    assertRetriesBackOff();
    Message granted = grantOfSeconds((byte) 100);
    registration.onAccepted(granted, false);
    assertTrue(registration.isRegistered());
    assertTrue(
        registration.nextUs() >= nowUs + 70 * US_PER_SECOND
            && registration.nextUs() <= nowUs + 80 * US_PER_SECOND,
        "the refresh is scheduled by the granted lease");
    registration.onShutdown(nowUs);
    PendingUpdate last = registration.startUpdate(nowUs);
    assertTrue(last.withdrawal());
    registration.onFailed(nowUs, true);
    assertTrue(
        registration.startUpdate(registration.nextUs()).withdrawal(),
        "a failed withdrawal is retried");
    registration.onAccepted(granted, true);
    assertTrue(registration.isWithdrawn());
    assertEquals(null, registration.startUpdate(nowUs + 1_000 * US_PER_SECOND));
  }

  private void assertRetriesBackOff() {
    long previousDelayUs = 0;
    for (int i = 0; i < 4; i++) {
      registration.onFailed(nowUs, false);
      long delayUs = registration.nextUs() - nowUs;
      assertTrue(delayUs > previousDelayUs, "the delay does not grow");
      previousDelayUs = delayUs;
      nowUs = registration.nextUs();
      assertTrue(registration.startUpdate(nowUs) != null);
    }
  }

  private static Message grantOfSeconds(byte seconds) {
    GenericEDNSOption lease = new GenericEDNSOption(LEASE_OPTION, new byte[] {0, 0, 0, seconds});
    Message response = new Message();
    response.addRecord(new OPTRecord(1232, 0, 0, 0, List.of(lease)), Section.ADDITIONAL);
    return response;
  }
}

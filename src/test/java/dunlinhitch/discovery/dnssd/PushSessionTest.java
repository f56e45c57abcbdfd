package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.discovery.dnssd.Dso.DsoMessage;
import dunlinhitch.discovery.dnssd.Dso.Head;
import dunlinhitch.discovery.dnssd.Dso.PushChange;
import dunlinhitch.discovery.dnssd.Dso.Tlv;
import dunlinhitch.discovery.dnssd.PushSession.Action;
import dunlinhitch.discovery.dnssd.PushSession.SubscriptionChanged;
import dunlinhitch.experiments.dns.Zone;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/** The messages that a push session sends, and their times, without sockets. */
class PushSessionTest {
  private static final String SERVICE = "_calendar._tcp.example.org.";
  private static final Question POINTERS = new Question(Names.parse(SERVICE), Type.PTR);
  private static final long US_PER_SECOND = 1_000_000;
  private static final long START_US = 1_000 * US_PER_SECOND;
  private final PushSession session = new PushSession(new SplittableRandom(5), START_US);
  private long nowUs = START_US;

  /** Returns the messages that the actions send, without their length prefixes. */
  private static List<DsoMessage> sentMessages(List<Action> actions) throws IOException {
    List<DsoMessage> messages = new ArrayList<>();
    for (Action action : actions) {
      if (action instanceof PushSession.Send send) {
        messages.add(Dso.read(DnsTcpFraming.message(send.bytes(), 0)));
      }
    }
    return messages;
  }

  private static int primaryType(DsoMessage message) {
    return message.tlvs().get(0).type();
  }

  private List<Action> receive(Head head, Tlv... tlvs) {
    return session.onMessage(nowUs, DnsTcpFraming.message(Dso.write(head, tlvs), 0));
  }

  private List<Action> receiveRequest(Tlv tlv) {
    return receive(new Head(0, false, 0), tlv);
  }

  private void reconnect() {
    session.onTimer(nowUs);
    session.onConnected(nowUs);
  }

  private static boolean hasClose(List<Action> actions) {
    return actions.stream().anyMatch(action -> action instanceof PushSession.Close);
  }

  @Test
  void subscribesSendsKeepalivesAndObeysARetryDelay() throws IOException {
    assertEquals(1, session.onTimer(nowUs).size());
    DsoMessage keepalive = sentMessages(session.onConnected(nowUs)).get(0);
    assertEquals(Dso.KEEPALIVE, primaryType(keepalive));
    assertEquals(
        List.of(),
        session.updateSubscriptions(nowUs, Set.of(POINTERS)),
        "subscribes only after the server has confirmed DSO support");
    receive(new Head(keepalive.head().id(), true, 0), Dso.keepalive(15_000, 20_000));
    DsoMessage subscribe =
        sentMessages(session.updateSubscriptions(nowUs, Set.of(POINTERS))).get(0);
    assertEquals(POINTERS, Dso.subscribed(subscribe.tlvs().get(0)));
    List<Action> accepted = receive(new Head(subscribe.head().id(), true, 0));
    assertEquals(List.of(new SubscriptionChanged(POINTERS, true)), accepted);
    assertPushedChangesArePassedOn();
    nowUs += 20 * US_PER_SECOND;
    assertEquals(Dso.KEEPALIVE, primaryType(sentMessages(session.onTimer(nowUs)).get(0)));
    List<Action> disconnected = receiveRequest(Dso.retryDelay(90_000));
    assertTrue(disconnected.contains(new SubscriptionChanged(POINTERS, false)));
    assertTrue(
        session.nextUs() >= nowUs + 90 * US_PER_SECOND,
        "reconnects before the requested retry delay");
    assertEquals(List.of(), session.onTimer(nowUs + 89 * US_PER_SECOND));
    nowUs += 200 * US_PER_SECOND;
    assertInactivityAndTooShortIntervalsEndASession();
  }

  private void assertPushedChangesArePassedOn() {
    Record pointer =
        Zone.store(SERVICE, "one", "127.0.0.1", 7001, 100, "id=one", "cell=1", "zone=a").get(0);
    Question pointerKey = new Question(pointer.getName(), Type.PTR);
    Question srvKey = new Question(pointer.getName(), Type.SRV);
    List<Action> actions =
        receiveRequest(
            Dso.push(
                List.of(
                    new PushChange(false, pointerKey, pointer),
                    new PushChange(true, pointerKey, pointer),
                    new PushChange(true, srvKey, null))));
    List<PushChange> changes = ((PushSession.ChangesReceived) actions.get(0)).changes();
    assertEquals(List.of(false, true, true), changes.stream().map(PushChange::removed).toList());
    assertEquals(pointer, changes.get(1).record());
  }

  private void assertInactivityAndTooShortIntervalsEndASession() {
    reconnect();
    assertTrue(hasClose(session.onTimer(nowUs + 30 * US_PER_SECOND)));
    nowUs += 300 * US_PER_SECOND;
    reconnect();
    assertTrue(hasClose(receiveRequest(Dso.keepalive(1, 500))));
  }

  /** Guards against a session whose connection has fallen silent and which counts as up. */
  @Test
  void aSessionThatDoesNotAnswerAProbeEnds() throws IOException {
    reconnect();
    assertEquals(List.of(), session.probe(nowUs), "not before the server has confirmed DSO");
    receive(new Head(1, true, 0), Dso.keepalive(15_000, 15_000));
    int id = sentMessages(session.probe(nowUs)).get(0).head().id();
    assertEquals(List.of(), session.probe(nowUs), "one probe at a time");
    nowUs += US_PER_SECOND / 2;
    receive(new Head(id, true, 0), Dso.keepalive(15_000, 15_000));
    assertEquals(List.of(), session.onTimer(nowUs + US_PER_SECOND), "the server has answered");
    session.probe(nowUs);
    receiveRequest(Dso.push(List.of(new PushChange(true, POINTERS, null))));
    nowUs += US_PER_SECOND;
    assertEquals(nowUs, session.nextUs());
    assertTrue(hasClose(session.onTimer(nowUs)), "a push may have been sent before the probe");
    nowUs = session.nextUs();
    reconnect();
    assertFalse(
        hasClose(session.onTimer(nowUs + 2 * US_PER_SECOND)), "a new session is not probed");
  }
}

package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.discovery.dnssd.Dso.Head;
import dunlinhitch.discovery.dnssd.Dso.PushChange;
import dunlinhitch.discovery.dnssd.PushSession.Action;
import io.vertx.core.buffer.Buffer;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Message;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/** Messages with random bytes changed, truncated or appended are either read or rejected. */
class MalformedMessagesTest extends AbstractServiceRecordsTest {
  private static final int ROUNDS = 20_000;
  private final SplittableRandom random = new SplittableRandom(9);

  @Test
  void malformedResponsesAndPushesAreRejected() {
    zone.change(List.of(), endpoint("one", 7001));
    zone.change(List.of(), endpoint("two", 7002, "state=draining"));
    respondToAll(records);
    int readable = 0;
    for (int i = 0; i < ROUNDS; i++) {
      readable += respondMalformed();
    }
    assertTrue(readable > 100, "readable responses: " + readable);
    byte[] push = validPush();
    int closed = 0;
    for (int i = 0; i < ROUNDS; i++) {
      byte[] bytes = push.clone();
      changeBytes(bytes, 0);
      closed += receivePush(bytes);
    }
    applyClaims(records);
    assertTrue(closed > 1_000, "closed sessions: " + closed);
  }

  /** Sends altered responses to all queries of a refresh; returns the number of readable ones. */
  private int respondMalformed() {
    int readable = 0;
    nowUs += US_PER_SECOND;
    records.refreshAll(nowUs);
    for (Question question : records.startQueries(nowUs)) {
      Message query = Message.newQuery(question.record());
      byte[] bytes = zone.answer(query).toWire(65_535);
      changeBytes(bytes, 2); // keeps the id, because a response with another id is ignored
      if (random.nextInt(4) == 0) {
        bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 20));
      }
      Message response = Resolver.parseResponse(query, bytes);
      if (response == null) {
        records.onFailure(nowUs, question);
      } else {
        readable++;
        records.onResponse(nowUs, question, response);
      }
    }
    applyClaims(records);
    return readable;
  }

  private void changeBytes(byte[] bytes, int from) {
    for (int changes = random.nextInt(1, 4); changes > 0; changes--) {
      bytes[random.nextInt(from, bytes.length)] = (byte) random.nextInt(256);
    }
  }

  private static byte[] validPush() {
    Record srv = endpoint("one", 7001).get(1);
    PushChange addition = new PushChange(false, new Question(srv.getName(), Type.SRV), srv);
    PushChange removal = new PushChange(true, new Question(srv.getName(), Type.TXT), null);
    Buffer framed = Dso.write(new Head(0, false, 0), Dso.push(List.of(addition, removal)));
    return DnsTcpFraming.message(framed, 0);
  }

  /**
   * Passes the message to a session and applies the pushed changes. Returns how many times the
   * session requested to close the connection.
   */
  private int receivePush(byte[] bytes) {
    int closed = 0;
    PushSession session = new PushSession(random, nowUs);
    session.onTimer(nowUs);
    session.onConnected(nowUs);
    for (Action action : session.onMessage(nowUs, bytes)) {
      closed += action instanceof PushSession.Close ? 1 : 0;
      if (action instanceof PushSession.ChangesReceived received) {
        received.changes().forEach(this::apply);
      }
    }
    return closed;
  }

  private void apply(PushChange change) {
    if (change.removed()) {
      records.onRecordRemoved(nowUs, change.key(), change.record());
    } else {
      records.onRecordAdded(nowUs, change.record());
    }
  }
}

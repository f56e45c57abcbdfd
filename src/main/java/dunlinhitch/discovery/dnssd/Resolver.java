package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.MicroClock;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.io.IOException;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.TSIGRecord;

/**
 * Asks one server (RFC 1035): over UDP with EDNS0 (RFC 6891), each question from a port of its own
 * and with an id of its own (RFC 5452), and over TCP (RFC 7766) where the answer was truncated.
 * What does not belong to the question is passed over and counted; the wait goes on. On the event
 * loop.
 */
final class Resolver {
  /** Fits an unfragmented packet on any usual path (DNS flag day 2020). */
  static final int PAYLOAD = 1232;

  static final int MOST_TCP_BYTES = 65_535;
  private static final int HEAD = 12;
  private final Vertx vertx;
  private final String host;
  private final int port;
  private final LongSupplier clock;
  private final IntSupplier ids;
  private final NetClient tcp;
  private long strays;
  private long bytesIn;

  /** {@code ids} gives numbers that nobody can guess; 16 bits of them are used. */
  Resolver(Vertx vertx, String host, int port, LongSupplier clock, IntSupplier ids) {
    this.vertx = vertx;
    this.host = host;
    this.port = port;
    this.clock = clock;
    this.ids = ids;
    tcp = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
  }

  /** Packets that did not belong to what was asked: another id, another sender, no message. */
  long strays() {
    return strays;
  }

  long bytesIn() {
    return bytesIn;
  }

  /** Fails where no whole answer is there by {@code dueUs}, whatever the reason. */
  Future<Message> ask(Question question, long dueUs) {
    return ask(question, dueUs, true)
        .compose(
            answer -> {
              boolean old = answer.getRcode() == Rcode.FORMERR || answer.getRcode() == Rcode.NOTIMP;
              return old
                  ? ask(question, dueUs, false)
                  : Future.succeededFuture(answer); // it may know no EDNS
            });
  }

  private Future<Message> ask(Question question, long dueUs, boolean edns) {
    Message query = Message.newQuery(question.record());
    query.getHeader().setID(ids.getAsInt() & 0xffff);
    query.getHeader().unsetFlag(Flags.RD);
    if (edns) {
      query.addRecord(new OPTRecord(PAYLOAD, 0, 0), Section.ADDITIONAL);
    }
    byte[] wire = query.toWire();
    return udp(query, wire, dueUs)
        .compose(
            answer ->
                answer.getHeader().getFlag(Flags.TC)
                    ? tcp(query, wire, dueUs, null, null)
                    : Future.succeededFuture(answer));
  }

  /**
   * Sends an update (RFC 2136), signed where {@code key} is not null (RFC 8945); fails unless its
   * answer is signed by it too.
   */
  Future<Message> update(Message update, TSIG key, long dueUs) {
    update.getHeader().setID(ids.getAsInt() & 0xffff);
    if (key == null) {
      return tcp(update, update.toWire(MOST_TCP_BYTES), dueUs, null, null);
    }
    update.setTSIG(
        key); // signs as it is written, behind EDNS's record, for the signature must come last
    byte[] wire = update.toWire(MOST_TCP_BYTES);
    try {
      return tcp(update, wire, dueUs, key, new Message(wire).getTSIG());
    } catch (IOException e) {
      return Future.failedFuture(e);
    }
  }

  private Future<Message> udp(Message query, byte[] wire, long dueUs) {
    Promise<Message> answer = Promise.promise();
    DatagramSocket socket = vertx.createDatagramSocket();
    long timer =
        vertx.setTimer(
            MicroClock.timerMs(clock.getAsLong(), dueUs), t -> answer.tryFail("no answer in time"));
    answer
        .future()
        .onComplete(
            done -> {
              vertx.cancelTimer(timer);
              socket.close();
            });
    socket.exceptionHandler(answer::tryFail);
    socket.handler(
        packet -> {
          bytesIn += packet.data().length();
          boolean theirs =
              packet.sender().port() == port && packet.sender().hostAddress().equals(host);
          Message message = theirs ? read(query, packet.data().getBytes()) : null;
          if (message == null) {
            strays++;
          } else {
            answer.tryComplete(message);
          }
        });
    socket
        .listen(0, host.contains(":") ? "::" : host.startsWith("127.") ? "127.0.0.1" : "0.0.0.0")
        .compose(bound -> bound.send(Buffer.buffer(wire), port, host))
        .onFailure(answer::tryFail);
    return answer.future();
  }

  private Future<Message> tcp(Message query, byte[] wire, long dueUs, TSIG key, TSIGRecord signed) {
    Promise<Message> answer = Promise.promise();
    long now = clock.getAsLong();
    long timer =
        vertx.setTimer(MicroClock.timerMs(now, dueUs), t -> answer.tryFail("no answer in time"));
    tcp.connect(
            new ConnectOptions()
                .setHost(host)
                .setPort(port)
                .setTimeout((int) MicroClock.timerMs(now, dueUs)))
        .onFailure(answer::tryFail)
        .onSuccess(
            socket -> {
              answer.future().onComplete(done -> socket.close());
              Buffer[] rest = {Buffer.buffer()};
              socket.handler(
                  bytes -> {
                    bytesIn += bytes.length();
                    rest[0].appendBuffer(bytes);
                    if (rest[0].length() >= 2
                        && rest[0].length() >= 2 + rest[0].getUnsignedShort(0)) {
                      byte[] whole = rest[0].getBytes(2, 2 + rest[0].getUnsignedShort(0));
                      Message message = read(query, whole);
                      if (message == null
                          || (key != null && key.verify(message, whole, signed) != Rcode.NOERROR)) {
                        strays++;
                        answer.tryFail("the answer over TCP does not belong to the question");
                      } else {
                        answer.tryComplete(message);
                      }
                    } else if (rest[0].length() > MOST_TCP_BYTES + 2) {
                      answer.tryFail("more than a message");
                    }
                  });
              socket.exceptionHandler(answer::tryFail);
              socket.closeHandler(v -> answer.tryFail("the connection ended before the answer"));
              socket.write(Buffer.buffer().appendUnsignedShort(wire.length).appendBytes(wire));
            });
    return answer.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  /** The message if it answers this query, else null. */
  static Message read(Message query, byte[] bytes) {
    if (bytes.length < HEAD
        || ((bytes[0] & 0xff) << 8 | (bytes[1] & 0xff)) != query.getHeader().getID()
        || (bytes[2] & 0x80) == 0) {
      return null;
    }
    try {
      Message message = new Message(bytes);
      Record asked = query.getQuestion();
      Record repeated = message.getQuestion();
      boolean same =
          message.getHeader().getOpcode() == query.getHeader().getOpcode()
              && (repeated == null
                  ? message.getHeader().getOpcode() == Opcode.UPDATE
                      || (message.getRcode() != Rcode.NOERROR
                          && message.getRcode() != Rcode.NXDOMAIN)
                  : repeated.getName().equals(asked.getName())
                      && repeated.getType() == asked.getType());
      return same ? message : null;
    } catch (IOException | RuntimeException e) { // cut off, or no message at all
      return null;
    }
  }

  void close() {
    tcp.close();
  }
}

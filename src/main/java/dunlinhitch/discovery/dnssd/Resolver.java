package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.MicroClock;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
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
 * Sends queries and updates to one DNS server (RFC 1035). Queries use UDP with EDNS(0) (RFC 6891),
 * each with its own source port and a random id (RFC 5452), and are repeated over TCP (RFC 7766) if
 * the response was truncated. Updates use TCP. Packets that do not match the query are counted and
 * ignored. Confined to the event loop.
 */
final class Resolver {
  /** Offered UDP payload size, which avoids fragmentation on common paths (DNS flag day 2020). */
  static final int UDP_PAYLOAD_BYTES = 1232;

  private static final int HEADER_BYTES = 12;

  /** The QR bit of the third header byte. */
  private static final int RESPONSE_BIT = 0x80;

  private static final int MAX_MESSAGE_ID = 0xffff;
  private final Vertx vertx;
  private final String host;
  private final int port;
  private final LongSupplier clock;
  private final IntSupplier messageIds;
  private final NetClient tcpClient;
  private long unexpectedResponses;

  /** Creates a resolver; the lower 16 bits of {@code messageIds} must be unpredictable. */
  Resolver(Vertx vertx, String host, int port, LongSupplier clock, IntSupplier messageIds) {
    this.vertx = vertx;
    this.host = host;
    this.port = port;
    this.clock = clock;
    this.messageIds = messageIds;
    tcpClient = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
  }

  /** Returns the number of packets received so far that matched no query or were malformed. */
  long unexpectedResponses() {
    return unexpectedResponses;
  }

  /** Queries the server; fails if no complete response is received by {@code deadlineUs}. */
  Future<Message> query(Question question, long deadlineUs) {
    return query(question, deadlineUs, true)
        .compose(
            response ->
                mayLackEdns(response)
                    ? query(question, deadlineUs, false)
                    : Future.succeededFuture(response));
  }

  /** Returns true for response codes of servers without EDNS(0) support (RFC 6891 section 7). */
  private static boolean mayLackEdns(Message response) {
    return response.getRcode() == Rcode.FORMERR || response.getRcode() == Rcode.NOTIMP;
  }

  private Future<Message> query(Question question, long deadlineUs, boolean edns) {
    Message query = Message.newQuery(question.record());
    query.getHeader().setID(nextMessageId());
    query.getHeader().unsetFlag(Flags.RD);
    if (edns) {
      query.addRecord(new OPTRecord(UDP_PAYLOAD_BYTES, 0, 0), Section.ADDITIONAL);
    }
    byte[] wire = query.toWire();
    return exchangeUdp(query, wire, deadlineUs)
        .compose(
            response ->
                response.getHeader().getFlag(Flags.TC)
                    ? exchangeTcp(query, wire, deadlineUs, null)
                    : Future.succeededFuture(response));
  }

  private int nextMessageId() {
    return messageIds.getAsInt() & MAX_MESSAGE_ID;
  }

  /**
   * Sends a dynamic update (RFC 2136). If {@code key} is not null, the update is signed (RFC 8945)
   * and fails unless the response is signed with the same key.
   */
  Future<Message> update(Message update, TSIG key, long deadlineUs) {
    update.getHeader().setID(nextMessageId());
    if (key == null) {
      byte[] wire = update.toWire(DnsTcpFraming.MAX_MESSAGE_BYTES);
      return exchangeTcp(update, wire, deadlineUs, null);
    }
    // The TSIG record must be the last record, after the OPT record. dnsjava appends the TSIG
    // record when it encodes the message.
    update.setTSIG(key);
    byte[] wire = update.toWire(DnsTcpFraming.MAX_MESSAGE_BYTES);
    try {
      Signature signature = new Signature(key, new Message(wire).getTSIG());
      return exchangeTcp(update, wire, deadlineUs, signature);
    } catch (IOException exception) {
      return Future.failedFuture(exception);
    }
  }

  /** Closes the TCP client. */
  void close() {
    tcpClient.close();
  }

  // ---- UDP

  private Future<Message> exchangeUdp(Message query, byte[] wire, long deadlineUs) {
    Promise<Message> response = Promise.promise();
    DatagramSocket socket = vertx.createDatagramSocket();
    long timer = failAt(deadlineUs, response);
    response
        .future()
        .onComplete(
            done -> {
              vertx.cancelTimer(timer);
              socket.close();
            });
    socket.exceptionHandler(response::tryFail);
    socket.handler(packet -> onPacket(query, packet, response));
    socket
        .listen(0, localAddress())
        .compose(bound -> bound.send(Buffer.buffer(wire), port, host))
        .onFailure(response::tryFail);
    return response.future();
  }

  private long failAt(long deadlineUs, Promise<Message> response) {
    return vertx.setTimer(
        MicroClock.timerMs(clock.getAsLong(), deadlineUs),
        id -> response.tryFail("no response before the deadline"));
  }

  private String localAddress() {
    if (host.contains(":")) {
      return "::";
    }
    return host.startsWith("127.") ? "127.0.0.1" : "0.0.0.0";
  }

  private void onPacket(Message query, DatagramPacket packet, Promise<Message> response) {
    boolean fromServer =
        packet.sender().port() == port && packet.sender().hostAddress().equals(host);
    Message message = fromServer ? parseResponse(query, packet.data().getBytes()) : null;
    if (message == null) {
      unexpectedResponses++;
    } else {
      response.tryComplete(message);
    }
  }

  // ---- TCP

  /** Key and TSIG record of a signed request; both are needed to verify the response. */
  private record Signature(TSIG key, TSIGRecord request) {}

  /** Sends a request over TCP; {@code signature} is null if the request is not signed. */
  private Future<Message> exchangeTcp(
      Message request, byte[] wire, long deadlineUs, Signature signature) {
    Promise<Message> response = Promise.promise();
    long timer = failAt(deadlineUs, response);
    ConnectOptions options =
        new ConnectOptions()
            .setHost(host)
            .setPort(port)
            .setTimeout((int) MicroClock.timerMs(clock.getAsLong(), deadlineUs));
    tcpClient
        .connect(options)
        .onFailure(response::tryFail)
        .onSuccess(
            socket -> {
              response.future().onComplete(done -> socket.close());
              sendTcp(socket, wire, new TcpResponseHandler(request, signature, response));
            });
    return response.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  private static void sendTcp(NetSocket socket, byte[] wire, TcpResponseHandler handler) {
    socket.handler(handler);
    socket.exceptionHandler(handler.response::tryFail);
    socket.closeHandler(
        closed -> handler.response.tryFail("connection closed before the response"));
    socket.write(DnsTcpFraming.frame(wire));
  }

  /** Collects the bytes of one response and completes its promise. */
  private final class TcpResponseHandler implements Handler<Buffer> {
    private final Message request;
    private final Signature signature;
    private final Promise<Message> response;
    private final Buffer received = Buffer.buffer();

    TcpResponseHandler(Message request, Signature signature, Promise<Message> response) {
      this.request = request;
      this.signature = signature;
      this.response = response;
    }

    @Override
    public void handle(Buffer bytes) {
      received.appendBuffer(bytes);
      if (!DnsTcpFraming.hasMessage(received, 0)) {
        return;
      }
      byte[] wire = DnsTcpFraming.message(received, 0);
      Message message = parseResponse(request, wire);
      if (message == null || !isAuthentic(message, wire)) {
        unexpectedResponses++;
        response.tryFail(
            "the TCP response does not match the request, or its signature is invalid");
      } else {
        response.tryComplete(message);
      }
    }

    private boolean isAuthentic(Message message, byte[] wire) {
      return signature == null
          || signature.key().verify(message, wire, signature.request()) == Rcode.NOERROR;
    }
  }

  // ---- matching of responses

  /** Returns the message if it is a response to this query, or null. */
  static Message parseResponse(Message query, byte[] bytes) {
    if (bytes.length < HEADER_BYTES
        || messageId(bytes) != query.getHeader().getID()
        || (bytes[2] & RESPONSE_BIT) == 0) {
      return null;
    }
    try {
      Message message = new Message(bytes);
      return isResponseTo(query, message) ? message : null;
    } catch (IOException | RuntimeException exception) {
      // dnsjava throws unchecked exceptions for some malformed messages.
      return null;
    }
  }

  private static int messageId(byte[] bytes) {
    return (bytes[0] & 0xff) << 8 | (bytes[1] & 0xff);
  }

  private static boolean isResponseTo(Message query, Message message) {
    if (message.getHeader().getOpcode() != query.getHeader().getOpcode()) {
      return false;
    }
    Record repeated = message.getQuestion();
    if (repeated == null) {
      return mayOmitQuestion(message);
    }
    Record question = query.getQuestion();
    return repeated.getName().equals(question.getName())
        && repeated.getType() == question.getType();
  }

  /** Responses to updates and error responses need not repeat the question. */
  private static boolean mayOmitQuestion(Message message) {
    return message.getHeader().getOpcode() == Opcode.UPDATE
        || (message.getRcode() != Rcode.NOERROR && message.getRcode() != Rcode.NXDOMAIN);
  }
}

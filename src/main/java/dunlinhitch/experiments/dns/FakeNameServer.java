package dunlinhitch.experiments.dns;

import dunlinhitch.discovery.dnssd.Dso;
import dunlinhitch.discovery.dnssd.Dso.DsoMessage;
import dunlinhitch.discovery.dnssd.Dso.Head;
import dunlinhitch.discovery.dnssd.Dso.PushChange;
import dunlinhitch.discovery.dnssd.Dso.Tlv;
import dunlinhitch.discovery.dnssd.Question;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;

/**
 * A fake name server on loopback that is authoritative for one {@link Zone}. It serves UDP and TCP
 * on one port and, after {@link #startPush}, DNS push notifications over TLS. For each question, a
 * script selects the fault that is applied to the answer.
 *
 * <p>The server runs on the Vert.x event loop; tests read its counters and set its script from
 * other threads.
 */
public final class FakeNameServer implements AutoCloseable {
  /** The fault that is applied to an answer. */
  public enum Fault {
    /** The answer is sent unaltered and at once. */
    NONE,
    /** The answer is sent 1.5 s after the query. By then the resolver has timed out. */
    LATE,
    LOST,
    DOUBLED,
    /** Over UDP, the answer has the TC flag and no records. Over TCP, the answer is complete. */
    TRUNCATED,
    /** The answer has a wrong message id and an empty answer section. No other answer is sent. */
    FORGED_ID,
    /**
     * An empty answer is sent over UDP from a port that the query was not sent to. No other answer
     * is sent.
     */
    FORGED_PORT,
    /** Only the first half of the message is sent. */
    HALF,
    /** The answer has neither the AA flag nor any records. */
    NO_AUTHORITY,
    SERVFAIL,
    REFUSED,
    NOISE
  }

  private static final long LATE_ANSWER_MS = 1_500;
  private static final int MAX_UDP_BYTES = 1232;

  /** The TC flag within the third byte of a message. */
  private static final int TRUNCATED_BIT = 2;

  /**
   * Maximum number of changes in one push message, which keeps it far below the maximum message
   * length.
   */
  private static final int MAX_CHANGES_PER_MESSAGE = 200;

  private static final int MAX_TCP_BYTES = 65_535;
  private final Vertx vertx;
  private final Zone zone;
  private final DatagramSocket udp;
  private final DatagramSocket spoofingSocket;
  private final NetServer tcp;
  private NetServer push;
  private Path trust;
  private final Set<Session> sessions = ConcurrentHashMap.newKeySet();

  /** Questions in order of arrival. */
  public final BlockingQueue<Question> queries = new LinkedBlockingQueue<>();

  /** Bytes of answers sent over UDP and TCP. */
  public final AtomicLong bytesOut = new AtomicLong();

  /** Selects the fault of the answer to a question. */
  public volatile Function<Question, Fault> script = question -> Fault.NONE;

  /** Milliseconds between a change and its push notification. */
  public volatile long pushDelayMs;

  /** If true, new push sessions are closed at once. */
  public volatile boolean refusesSessions;

  /** If true, subscriptions are accepted, but no record is pushed. */
  public volatile boolean pushesNothing;

  /** Listens on a free loopback port. */
  public FakeNameServer(Vertx vertx, Zone zone) throws Exception {
    this.vertx = vertx;
    this.zone = zone;
    udp = vertx.createDatagramSocket();
    spoofingSocket = vertx.createDatagramSocket();
    udp.handler(
        packet ->
            onQuery(
                packet.data().getBytes(),
                false,
                answer ->
                    udp.send(Buffer.buffer(answer), packet.sender().port(), packet.sender().host()),
                packet.sender()));
    tcp =
        vertx
            .createNetServer()
            .connectHandler(
                socket ->
                    readFrames(
                        socket,
                        bytes ->
                            onQuery(
                                bytes,
                                true,
                                answer ->
                                    socket.write(
                                        Buffer.buffer()
                                            .appendUnsignedShort(answer.length)
                                            .appendBytes(answer)),
                                null)));
    // TCP and UDP must use the same port number; if the number is in use for UDP, tries another one
    for (int attempts = 0; ; attempts++) {
      await(tcp.listen(0, "127.0.0.1"));
      try {
        await(udp.listen(tcp.actualPort(), "127.0.0.1"));
        break;
      } catch (Exception e) {
        if (attempts > 5) {
          throw e;
        }
      }
    }
    await(spoofingSocket.listen(0, "127.0.0.1"));
  }

  private static <T> T await(io.vertx.core.Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /** Returns the port number of the UDP and TCP sockets. */
  public int port() {
    return tcp.actualPort();
  }

  /** Returns the zone that the server is authoritative for. */
  public Zone zone() {
    return zone;
  }

  /**
   * Listens for push sessions with a self-signed certificate for localhost.
   *
   * @param folder directory for the certificate
   * @return the port
   */
  public int startPush(Path folder) throws Exception {
    X509Bundle bundle =
        new CertificateBuilder()
            .subject("CN=localhost")
            .addSanDnsName("localhost")
            .addSanIpAddress("127.0.0.1")
            .setIsCertificateAuthority(true)
            .buildSelfSigned();
    trust = Files.writeString(folder.resolve("trust.pem"), bundle.getRootCertificatePEM());
    push =
        vertx.createNetServer(
            new NetServerOptions()
                .setSsl(true)
                .setKeyCertOptions(
                    new PemKeyCertOptions()
                        .addCertValue(Buffer.buffer(bundle.getCertificatePathPEM()))
                        .addKeyValue(Buffer.buffer(bundle.getPrivateKeyPEM()))));
    push.connectHandler(this::accept);
    await(push.listen(0, "127.0.0.1"));
    return push.actualPort();
  }

  private void accept(NetSocket socket) {
    if (refusesSessions) {
      socket.close();
    } else {
      new Session(socket);
    }
  }

  /** The PEM file with the trust anchor of the push listener; null before {@link #startPush}. */
  public Path trust() {
    return trust;
  }

  /** The number of open push sessions. */
  public int sessions() {
    return sessions.size();
  }

  /** The number of subscriptions in all push sessions. */
  public int subscriptions() {
    return sessions.stream().mapToInt(s -> s.subscriptionsById.size()).sum();
  }

  /**
   * Closes all push sessions. If {@code half} is true, the server first sends the beginning of a
   * message to each session.
   */
  public void cutSessions(boolean half) {
    sessions.forEach(
        s ->
            s.socket
                .write(half ? Buffer.buffer(new byte[] {0, 99, 1}) : Buffer.buffer())
                .onComplete(v -> s.socket.close()));
  }

  /** Makes the open push sessions ignore and send nothing from now on, and stay open. */
  public void silenceSessions() {
    sessions.forEach(session -> session.silent = true);
  }

  /** Sends a retry delay to all push sessions. */
  public void retryDelay(long ms) {
    sessions.forEach(s -> s.socket.write(Dso.write(new Head(0, false, 0), Dso.retryDelay(ms))));
  }

  /** Sends bytes to all push sessions without encoding them as a message. */
  public void pushRaw(Buffer bytes) {
    sessions.forEach(s -> s.socket.write(bytes));
  }

  private static void readFrames(NetSocket socket, Consumer<byte[]> messages) {
    Buffer[] rest = {Buffer.buffer()};
    socket.exceptionHandler(e -> {});
    socket.handler(
        bytes -> {
          rest[0].appendBuffer(bytes);
          while (rest[0].length() >= 2 && rest[0].length() >= 2 + rest[0].getUnsignedShort(0)) {
            int end = 2 + rest[0].getUnsignedShort(0);
            byte[] message = rest[0].getBytes(2, end);
            rest[0] = rest[0].getBuffer(end, rest[0].length());
            messages.accept(message);
          }
        });
  }

  private void onQuery(byte[] bytes, boolean stream, Consumer<byte[]> reply, SocketAddress from) {
    Message query;
    try {
      query = new Message(bytes);
    } catch (IOException e) {
      return;
    }
    Question question = new Question(query.getQuestion().getName(), query.getQuestion().getType());
    queries.add(question);
    Fault fault = script.apply(question);
    Message answer =
        query.getHeader().getOpcode() == Opcode.UPDATE
            ? zone.update(query, bytes)
            : zone.answer(query);
    applyFault(fault, answer, new Exchange(query, stream, reply, from));
  }

  /**
   * A query and how its answer is sent.
   *
   * @param stream true for TCP, false for UDP
   * @param from the sender of a UDP query; null for TCP
   */
  private record Exchange(
      Message query, boolean stream, Consumer<byte[]> reply, SocketAddress from) {
    byte[] encode(Message answer) {
      return answer.toWire(stream ? MAX_TCP_BYTES : MAX_UDP_BYTES);
    }
  }

  private void applyFault(Fault fault, Message answer, Exchange exchange) {
    switch (fault) {
      case NONE -> send(answer, exchange);
      case LATE -> vertx.setTimer(LATE_ANSWER_MS, t -> send(answer, exchange));
      case DOUBLED -> {
        send(answer, exchange);
        send(answer, exchange);
      }
      case LOST -> {}
      case SERVFAIL -> sendError(Rcode.SERVFAIL, answer, exchange);
      case REFUSED -> sendError(Rcode.REFUSED, answer, exchange);
      default -> sendAltered(fault, answer, exchange);
    }
  }

  /** Sends an answer whose content or source port the fault alters. */
  private void sendAltered(Fault fault, Message answer, Exchange exchange) {
    switch (fault) {
      case TRUNCATED -> {
        if (!exchange.stream()) {
          answer.getHeader().setFlag(Flags.TC);
          removeRecords(answer);
        }
        send(answer, exchange);
      }
      case FORGED_ID -> {
        answer.getHeader().setID(answer.getHeader().getID() ^ 1);
        answer.removeAllRecords(Section.ANSWER);
        send(answer, exchange);
      }
      case FORGED_PORT -> sendFromOtherPort(answer, exchange.from());
      case HALF -> {
        byte[] complete = exchange.encode(answer);
        exchange.reply().accept(Arrays.copyOf(complete, complete.length / 2));
      }
      case NO_AUTHORITY -> {
        answer.getHeader().unsetFlag(Flags.AA);
        removeRecords(answer);
        send(answer, exchange);
      }
      case NOISE -> exchange.reply().accept(corrupt(exchange.encode(answer)));
      default -> throw new IllegalArgumentException("fault does not alter the answer: " + fault);
    }
  }

  private static void removeRecords(Message answer) {
    answer.removeAllRecords(Section.ANSWER);
    answer.removeAllRecords(Section.ADDITIONAL);
  }

  private void sendFromOtherPort(Message answer, SocketAddress receiver) {
    answer.removeAllRecords(Section.ANSWER);
    if (receiver != null) {
      spoofingSocket.send(Buffer.buffer(answer.toWire()), receiver.port(), receiver.host());
    }
  }

  private void sendError(int rcode, Message answer, Exchange exchange) {
    Message error = new Message(answer.getHeader().getID());
    error.getHeader().setFlag(Flags.QR);
    error.getHeader().setRcode(rcode);
    error.addRecord(exchange.query().getQuestion(), Section.QUESTION);
    send(error, exchange);
  }

  private static byte[] corrupt(byte[] wire) {
    for (int i = 3; i < wire.length; i += 2) {
      wire[i] = (byte) (wire[i] * 31 + i * 17);
    }
    return wire;
  }

  /**
   * Sends an answer. If the message is too long, the additional records are removed. If the message
   * is still too long, it is truncated and has the TC flag.
   */
  private void send(Message answer, Exchange exchange) {
    byte[] wire = exchange.encode(answer);
    if ((wire[2] & TRUNCATED_BIT) != 0) {
      answer.removeAllRecords(Section.ADDITIONAL);
      wire = exchange.encode(answer);
    }
    bytesOut.addAndGet(wire.length);
    exchange.reply().accept(wire);
  }

  /** A push session with one client. */
  private final class Session {
    private final NetSocket socket;
    private final Map<Integer, Question> subscriptionsById = new HashMap<>();
    private final Consumer<List<PushChange>> listener;
    private volatile boolean silent;

    Session(NetSocket socket) {
      this.socket = socket;
      io.vertx.core.Context context = vertx.getOrCreateContext();
      listener =
          changes ->
              context.runOnContext(
                  v -> {
                    if (pushDelayMs > 0) {
                      vertx.setTimer(pushDelayMs, t -> onZoneChanged(changes));
                    } else {
                      onZoneChanged(changes);
                    }
                  });
      zone.listen(listener);
      sessions.add(this);
      socket.closeHandler(
          v -> {
            sessions.remove(this);
            zone.unlisten(listener);
          });
      readFrames(socket, this::onMessage);
    }

    private void onZoneChanged(List<PushChange> changes) {
      List<PushChange> subscribed = new ArrayList<>();
      Set<Question> keys = Set.copyOf(subscriptionsById.values());
      for (PushChange change : changes) {
        if (keys.contains(change.key())) {
          subscribed.add(change);
        }
      }
      push(subscribed);
    }

    /** Sends changes in as many messages as needed. */
    private void push(List<PushChange> changes) {
      if (silent || pushesNothing) {
        return;
      }
      for (int from = 0; from < changes.size(); from += MAX_CHANGES_PER_MESSAGE) {
        socket.write(
            Dso.write(
                new Head(0, false, 0),
                Dso.push(
                    changes.subList(
                        from, Math.min(changes.size(), from + MAX_CHANGES_PER_MESSAGE)))));
      }
    }

    private void onMessage(byte[] bytes) {
      if (silent) {
        return;
      }
      try {
        DsoMessage message = Dso.read(bytes);
        Tlv first = message.tlvs().get(0);
        int id = message.head().id();
        switch (first.type()) {
          case Dso.KEEPALIVE ->
              socket.write(Dso.write(new Head(id, true, 0), Dso.keepalive(15_000, 15_000)));
          case Dso.SUBSCRIBE -> {
            Question key = Dso.subscribed(first);
            subscriptionsById.put(id, key);
            socket.write(Dso.write(new Head(id, true, 0)));
            push(zone.get(key).stream().map(record -> new PushChange(false, key, record)).toList());
          }
          case Dso.UNSUBSCRIBE ->
              subscriptionsById.remove((first.data()[0] & 0xff) << 8 | (first.data()[1] & 0xff));
          default -> socket.write(Dso.write(new Head(id, true, 11)));
        }
      } catch (IOException | RuntimeException e) { // malformed input of any kind ends the session
        socket.close();
      }
    }
  }

  @Override
  public void close() {
    udp.close();
    spoofingSocket.close();
    tcp.close();
    if (push != null) {
      push.close();
    }
  }
}

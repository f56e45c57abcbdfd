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
 * A stand-in name server on loopback: authoritative for one {@link Zone}, over UDP and TCP on one
 * port, and where asked for over TLS with push notifications; it misbehaves as its script says.
 * Scripts go by the question.
 */
public final class Responder implements AutoCloseable {
  /** What becomes of an answer. */
  public enum Fault {
    /** As it should be. */
    NONE,
    /** 1.5 s after the question; the asker has given up. */
    LATE,
    LOST,
    DOUBLED,
    /** Marked as cut off, over UDP; over TCP it is whole. */
    TRUNCATED,
    /** An answer with another id before the right one, which never comes. */
    FORGED_ID,
    /** From another port, which empties the zone; the right one never comes. */
    FORGED_PORT,
    /** The message ends in the middle. */
    HALF,
    /** Without AA, and with nothing in it. */
    NO_AUTHORITY,
    SERVFAIL,
    REFUSED,
    NOISE
  }

  private static final long LATE_MS = 1_500;
  private static final int UDP_BYTES = 1232;
  private static final int TCP_BYTES = 65_535;
  private final Vertx vertx;
  private final Zone zone;
  private final DatagramSocket udp;
  private final DatagramSocket other;
  private final NetServer tcp;
  private NetServer push;
  private Path trust;
  private final Set<Session> sessions = ConcurrentHashMap.newKeySet();

  /** Questions as they came. */
  public final BlockingQueue<Question> asked = new LinkedBlockingQueue<>();

  /** Bytes that went out over UDP and TCP. */
  public final AtomicLong bytesOut = new AtomicLong();

  public volatile Function<Question, Fault> script = question -> Fault.NONE;

  /** Milliseconds between a change and its push. */
  public volatile long pushDelayMs;

  public Responder(Vertx vertx, Zone zone) throws Exception {
    this.vertx = vertx;
    this.zone = zone;
    udp = vertx.createDatagramSocket();
    other = vertx.createDatagramSocket();
    udp.handler(
        packet ->
            question(
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
                    framed(
                        socket,
                        bytes ->
                            question(
                                bytes,
                                true,
                                answer ->
                                    socket.write(
                                        Buffer.buffer()
                                            .appendUnsignedShort(answer.length)
                                            .appendBytes(answer)),
                                null)));
    // one port for both: the first try may find it taken by somebody else
    for (int tries = 0; ; tries++) {
      await(tcp.listen(0, "127.0.0.1"));
      try {
        await(udp.listen(tcp.actualPort(), "127.0.0.1"));
        break;
      } catch (Exception e) {
        if (tries > 5) {
          throw e;
        }
      }
    }
    await(other.listen(0, "127.0.0.1"));
  }

  private static <T> T await(io.vertx.core.Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  public int port() {
    return tcp.actualPort();
  }

  public Zone zone() {
    return zone;
  }

  /**
   * Listens for push sessions too, under a certificate of its own for localhost; the result is the
   * port.
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
    push.connectHandler(socket -> new Session(socket));
    await(push.listen(0, "127.0.0.1"));
    return push.actualPort();
  }

  /** Who vouches for the push listener, as PEM. */
  public Path trust() {
    return trust;
  }

  public int sessions() {
    return sessions.size();
  }

  public int subscriptions() {
    return sessions.stream().mapToInt(s -> s.byId.size()).sum();
  }

  /** Ends all push sessions: after half a message, or with the word when to come back. */
  public void cutSessions(boolean half) {
    sessions.forEach(
        s ->
            s.socket
                .write(half ? Buffer.buffer(new byte[] {0, 99, 1}) : Buffer.buffer())
                .onComplete(v -> s.socket.close()));
  }

  public void retryDelay(long ms) {
    sessions.forEach(s -> s.socket.write(Dso.write(new Head(0, false, 0), Dso.retryDelay(ms))));
  }

  /** Bytes as they are, to all sessions. */
  public void pushRaw(Buffer bytes) {
    sessions.forEach(s -> s.socket.write(bytes));
  }

  private static void framed(NetSocket socket, Consumer<byte[]> messages) {
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

  private void question(byte[] bytes, boolean stream, Consumer<byte[]> reply, SocketAddress from) {
    Message query;
    try {
      query = new Message(bytes);
    } catch (IOException e) {
      return;
    }
    Question question = new Question(query.getQuestion().getName(), query.getQuestion().getType());
    asked.add(question);
    Fault fault = script.apply(question);
    Message answer =
        query.getHeader().getOpcode() == Opcode.UPDATE
            ? zone.update(query, bytes)
            : zone.answer(query);
    switch (fault) {
      case NONE -> send(answer, stream, reply);
      case LATE -> vertx.setTimer(LATE_MS, t -> send(answer, stream, reply));
      case DOUBLED -> {
        send(answer, stream, reply);
        send(answer, stream, reply);
      }
      case TRUNCATED -> {
        if (!stream) {
          answer.getHeader().setFlag(Flags.TC);
          answer.removeAllRecords(Section.ANSWER);
          answer.removeAllRecords(Section.ADDITIONAL);
        }
        send(answer, stream, reply);
      }
      case FORGED_ID -> {
        answer.getHeader().setID(answer.getHeader().getID() ^ 1);
        answer.removeAllRecords(Section.ANSWER);
        send(answer, stream, reply);
      }
      case FORGED_PORT -> {
        answer.removeAllRecords(Section.ANSWER);
        if (from != null) {
          other.send(Buffer.buffer(answer.toWire()), from.port(), from.host());
        }
      }
      case HALF -> {
        byte[] whole = answer.toWire(stream ? TCP_BYTES : UDP_BYTES);
        reply.accept(java.util.Arrays.copyOf(whole, whole.length / 2));
      }
      case NO_AUTHORITY -> {
        answer.getHeader().unsetFlag(Flags.AA);
        answer.removeAllRecords(Section.ANSWER);
        answer.removeAllRecords(Section.ADDITIONAL);
        send(answer, stream, reply);
      }
      case SERVFAIL, REFUSED -> {
        Message no = new Message(answer.getHeader().getID());
        no.getHeader().setFlag(Flags.QR);
        no.getHeader().setRcode(fault == Fault.SERVFAIL ? Rcode.SERVFAIL : Rcode.REFUSED);
        no.addRecord(query.getQuestion(), Section.QUESTION);
        send(no, stream, reply);
      }
      case NOISE -> {
        byte[] noise = answer.toWire(stream ? TCP_BYTES : UDP_BYTES);
        for (int i = 3; i < noise.length; i += 2) {
          noise[i] = (byte) (noise[i] * 31 + i * 17);
        }
        reply.accept(noise);
      }
      case LOST -> {}
    }
  }

  /**
   * Additional records go first where it is too long; what still does not fit is marked as cut off.
   */
  private void send(Message answer, boolean stream, Consumer<byte[]> reply) {
    byte[] wire = answer.toWire(stream ? TCP_BYTES : UDP_BYTES);
    if ((wire[2] & 2) != 0) {
      answer.removeAllRecords(Section.ADDITIONAL);
      wire = answer.toWire(stream ? TCP_BYTES : UDP_BYTES);
    }
    bytesOut.addAndGet(wire.length);
    reply.accept(wire);
  }

  /** A push session with one client. */
  private final class Session {
    private final NetSocket socket;
    private final Map<Integer, Question> byId = new HashMap<>();
    private final Consumer<List<PushChange>> listener;

    Session(NetSocket socket) {
      this.socket = socket;
      io.vertx.core.Context context = vertx.getOrCreateContext();
      listener =
          changes ->
              context.runOnContext(
                  v -> {
                    if (pushDelayMs > 0) {
                      vertx.setTimer(pushDelayMs, t -> tell(changes));
                    } else {
                      tell(changes);
                    }
                  });
      zone.listen(listener);
      sessions.add(this);
      socket.closeHandler(
          v -> {
            sessions.remove(this);
            zone.unlisten(listener);
          });
      framed(socket, this::message);
    }

    private void tell(List<PushChange> changes) {
      List<PushChange> wanted = new ArrayList<>();
      Set<Question> keys = Set.copyOf(byId.values());
      for (PushChange change : changes) {
        if (keys.contains(change.key())) {
          wanted.add(change);
        }
      }
      send(wanted);
    }

    /** Several messages where one would be too long. */
    private void send(List<PushChange> changes) {
      for (int from = 0; from < changes.size(); from += 200) {
        socket.write(
            Dso.write(
                new Head(0, false, 0),
                Dso.push(changes.subList(from, Math.min(changes.size(), from + 200)))));
      }
    }

    private void message(byte[] bytes) {
      try {
        DsoMessage message = Dso.read(bytes);
        Tlv first = message.tlvs().get(0);
        int id = message.head().id();
        switch (first.type()) {
          case Dso.KEEPALIVE ->
              socket.write(Dso.write(new Head(id, true, 0), Dso.keepalive(15_000, 15_000)));
          case Dso.SUBSCRIBE -> {
            Question key = Dso.subscribed(first);
            byId.put(id, key);
            socket.write(Dso.write(new Head(id, true, 0)));
            send(zone.get(key).stream().map(record -> new PushChange(false, key, record)).toList());
          }
          case Dso.UNSUBSCRIBE ->
              byId.remove((first.data()[0] & 0xff) << 8 | (first.data()[1] & 0xff));
          default -> socket.write(Dso.write(new Head(id, true, 11)));
        }
      } catch (IOException | RuntimeException e) {
        socket.close();
      }
    }
  }

  @Override
  public void close() {
    udp.close();
    other.close();
    tcp.close();
    if (push != null) {
      push.close();
    }
  }
}

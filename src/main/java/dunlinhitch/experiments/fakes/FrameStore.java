package dunlinhitch.experiments.fakes;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A fake store with the frame protocol. Runs on the Vert.x event loop. */
public class FrameStore extends Store {
  /** Types of the frames that the store reads and writes. */
  private static final char CANCEL = 'n';

  private static final char LIVENESS_CHECK = 'o';
  private static final char HEALTH_CHECK = 'p';
  private static final char FIRST_PASS = 's';
  private static final char FIRST_PASS_ANSWER = 't';
  private static final char ANSWER = 'q';

  /** Accepted connections in order, for tests that write to them directly. */
  public final List<NetSocket> sockets = new CopyOnWriteArrayList<>();

  private final Vertx vertx;
  private final NetServer server;

  /** Listens on a free loopback port. */
  public FrameStore(Vertx vertx, String name) throws Exception {
    super(name);
    this.vertx = vertx;
    server =
        vertx
            .createNetServer()
            .connectHandler(this::onConnect)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(5, TimeUnit.SECONDS);
  }

  private void onConnect(NetSocket socket) {
    sockets.add(socket);
    onConnected(socket);
    socket.closeHandler(v -> onDisconnected(socket));
    RecordParser parser = RecordParser.newFixed(4);
    boolean[] readsLength = {true};
    parser.handler(
        bytes -> {
          if (readsLength[0]) {
            parser.fixedSizeMode((int) bytes.getUnsignedIntLE(0));
          } else {
            parser.fixedSizeMode(4);
            onFrame(socket, (char) bytes.getByte(0), bytes.getBytes(1, bytes.length()));
          }
          readsLength[0] = !readsLength[0];
        });
    socket.handler(parser);
  }

  private void onFrame(NetSocket socket, char type, byte[] body) {
    switch (type) {
      case CANCEL -> {
        String partId = new String(body, StandardCharsets.UTF_8);
        cancelledParts.add(partId);
        onCancelled(socket, partId);
      }
      case LIVENESS_CHECK -> {
        livenessChecks.add(name);
        if (!unresponsive) {
          socket.write(frame(LIVENESS_CHECK, "good"));
        }
      }
      case HEALTH_CHECK -> {
        healthChecks.add(name);
        socket.write(frame(HEALTH_CHECK, "latency_ms=5,queue=0"));
      }
      case FIRST_PASS -> onFirstPass(socket, body);
      default -> onQuery(socket, body);
    }
  }

  private void onFirstPass(NetSocket socket, byte[] body) {
    for (ReceivedPart part : parseParts(body)) {
      firstPasses.add(part);
      FirstAnswer first = firstAnswer.apply(part);
      if (first != null) {
        String header =
            part.id() + " good 1 " + loadReport() + " " + first.records() + " " + first.version();
        Buffer frame = frame(FIRST_PASS_ANSWER, header + "\n" + first.emptyValue());
        work(part, true, () -> socket.write(frame));
      }
    }
  }

  private void onQuery(NetSocket socket, byte[] body) {
    for (ReceivedPart part : parseParts(body)) {
      onReceived(socket, part);
      Behavior behavior = receive(part);
      if (behavior == Behavior.CUT) {
        Buffer complete = frame(ANSWER, part.id() + " good 1 -\n" + value(part));
        socket.write(complete.getBuffer(0, complete.length() - 3)).onComplete(v -> socket.close());
        return;
      }
      Row row = answerRow(part, behavior);
      String header = row.id() + " " + row.end() + " " + row.score() + " " + row.report() + "\n";
      Buffer frame = frame(ANSWER, Buffer.buffer(header).appendBytes(row.value()));
      int copies = copies(behavior);
      work(
          part,
          false,
          () -> {
            if (copies > 0) {
              onAnswered(socket, part.id());
            }
            write(socket, frame, copies);
          });
    }
  }

  /** Simulates the work of a part; {@code done} sends its answer. */
  protected void work(ReceivedPart part, boolean onlyFirst, Runnable done) {
    int ms = onlyFirst ? Math.max(1, firstAnswerDelayMs) : answerDelayMs;
    if (ms > 0) {
      vertx.setTimer(ms, t -> done.run());
    } else {
      done.run();
    }
  }

  /** Called when a connection has been accepted. */
  protected void onConnected(NetSocket socket) {
    // does nothing unless a subclass overrides it
  }

  /** Called when a part has been read from a connection. */
  protected void onReceived(NetSocket socket, ReceivedPart part) {
    // does nothing unless a subclass overrides this to record the connection of a part
  }

  /** Handles the cancellation of a part. */
  protected void onCancelled(NetSocket socket, String partId) {
    // does nothing: this store answers a part even if the part was cancelled
  }

  /** Called before the answer to a part is written to the connection. */
  protected void onAnswered(NetSocket socket, String partId) {
    // does nothing unless a subclass overrides it
  }

  /** Called when a connection has ended. */
  protected void onDisconnected(NetSocket socket) {
    // does nothing unless a subclass overrides it
  }

  /** Returns the current load report. */
  protected String loadReport() {
    return "latency_ms=1,queue=0";
  }

  private static void write(NetSocket socket, Buffer frame, int copies) {
    for (int i = 0; i < copies; i++) {
      socket.write(frame);
    }
  }

  /** Encodes a frame: length (4 bytes, little endian), type and text. */
  public static Buffer frame(char type, String rest) {
    return frame(type, Buffer.buffer(rest));
  }

  private static Buffer frame(char type, Buffer bytes) {
    return Buffer.buffer()
        .appendUnsignedIntLE(1 + bytes.length())
        .appendByte((byte) type)
        .appendBuffer(bytes);
  }

  @Override
  public int port() {
    return server.actualPort();
  }

  @Override
  public String protocol() {
    return "frames";
  }

  @Override
  public void close() throws Exception {
    // Waits until the server is closed. A connection that is accepted after the event loop has
    // ended would never be handled.
    server.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    sockets.forEach(NetSocket::close);
  }
}

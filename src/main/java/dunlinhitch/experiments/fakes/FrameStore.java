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

/** A store that speaks frames. */
public class FrameStore extends Store {
  /** Connections as they came, for scripts that say something of their own. */
  public final List<NetSocket> sockets = new CopyOnWriteArrayList<>();

  private final Vertx vertx;
  private final NetServer server;

  public FrameStore(Vertx vertx, String name) throws Exception {
    super(name);
    this.vertx = vertx;
    server =
        vertx
            .createNetServer()
            .connectHandler(this::serve)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(5, TimeUnit.SECONDS);
  }

  private void serve(NetSocket socket) {
    sockets.add(socket);
    RecordParser parser = RecordParser.newFixed(4);
    boolean[] head = {true};
    parser.handler(
        bytes -> {
          if (head[0]) {
            parser.fixedSizeMode((int) bytes.getUnsignedIntLE(0));
          } else {
            parser.fixedSizeMode(4);
            frame(socket, (char) bytes.getByte(0), bytes.getBytes(1, bytes.length()));
          }
          head[0] = !head[0];
        });
    socket.handler(parser);
  }

  private void frame(NetSocket socket, char letter, byte[] rest) {
    if (letter == 'n') {
      String partId = new String(rest, StandardCharsets.UTF_8);
      givenUp.add(partId);
      dropped(partId);
    } else if (letter == 'o') {
      checks.add(name);
      if (!mute) {
        socket.write(frame('o', "good"));
      }
    } else if (letter == 'p') {
      probes.add(name);
      socket.write(frame('p', "latency_ms=5,queue=0"));
    } else if (letter == 's') {
      for (Seen part : parts(rest)) {
        firstSeen.add(part);
        First said = first.apply(part);
        if (said != null) {
          String report = report();
          Buffer frame =
              frame(
                  't',
                  part.id()
                      + " good 1 "
                      + report
                      + " "
                      + said.records()
                      + " "
                      + said.version()
                      + "\n"
                      + said.emptyValue());
          work(part, true, () -> socket.write(frame));
        }
      }
    } else {
      for (Seen part : parts(rest)) {
        Do how = take(part);
        if (how == Do.CUT) {
          Buffer whole = frame('q', part.id() + " good 1 -\n" + value(part));
          socket.write(whole.getBuffer(0, whole.length() - 3)).onComplete(v -> socket.close());
          return;
        }
        Row row = row(part, how);
        Buffer frame =
            frame(
                'q',
                Buffer.buffer(
                        row.id() + " " + row.end() + " " + row.score() + " " + row.report() + "\n")
                    .appendBytes(row.value()));
        int copies = how == Do.NOTHING ? 0 : how == Do.TWICE ? 2 : 1;
        work(part, false, () -> write(socket, frame, copies));
      }
    }
  }

  /** Does a part's work, and then what is to be done with its answer. */
  protected void work(Seen part, boolean onlyFirst, Runnable done) {
    int ms = onlyFirst ? Math.max(1, firstAfterMs) : answerAfterMs;
    if (ms > 0) {
      vertx.setTimer(ms, t -> done.run());
    } else {
      done.run();
    }
  }

  /** Nobody waits for that part any more. */
  protected void dropped(String partId) {
    // what is under way here is answered all the same
  }

  /** Its load, as it stands. */
  protected String report() {
    return "latency_ms=1,queue=0";
  }

  private static void write(NetSocket socket, Buffer frame, int copies) {
    for (int i = 0; i < copies; i++) {
      socket.write(frame);
    }
  }

  public static Buffer frame(char letter, String rest) {
    return frame(letter, Buffer.buffer(rest));
  }

  private static Buffer frame(char letter, Buffer bytes) {
    return Buffer.buffer()
        .appendUnsignedIntLE(1 + bytes.length())
        .appendByte((byte) letter)
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
    // over before the loop is: a connection that is accepted after that has none to go to
    server.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    sockets.forEach(NetSocket::close);
  }
}

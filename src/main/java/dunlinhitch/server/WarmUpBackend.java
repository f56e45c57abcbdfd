package dunlinhitch.server;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import dunlinhitch.balancer.settings.Settings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;

/**
 * Emulates, on one port, the discovery service and all backends of a warm-up: an HTTP connection
 * receives the endpoint list, and a connection that sends frames receives a reply to each part of
 * each call. Runs on the event loop.
 */
final class WarmUpBackend {
  /** Number of replicas per cell: more than one, so that the balancer has a choice. */
  private static final int REPLICAS_PER_CELL = 2;

  /** One in this many replies rejects its part, so that the retry paths are compiled too. */
  private static final int REJECTED_INTERVAL = 20;

  /** One in this many replies fails its part. */
  private static final int FAILED_INTERVAL = 33;

  private static final String REJECTED = "later";
  private static final String FAILED = "bad";
  private static final String SUCCEEDED = "good";

  private final Settings settings;
  private final String host;
  private final NetServer server;
  private int replies;

  WarmUpBackend(Vertx vertx, Settings settings, String host) {
    this.settings = settings;
    this.host = host;
    server = vertx.createNetServer();
  }

  /** Listens on a free port; the result is that port. */
  Future<Integer> listen() {
    return server
        .connectHandler(
            socket -> {
              WarmUp.ignoreExceptions(socket);
              socket.handler(new Connection(socket)::read);
            })
        .listen(0, host)
        .map(NetServer::actualPort);
  }

  Future<Void> close() {
    return server.close();
  }

  private String nextReply(String partId) {
    replies++;
    String outcome = SUCCEEDED;
    if (replies % REJECTED_INTERVAL == 0) {
      outcome = REJECTED;
    } else if (replies % FAILED_INTERVAL == 0) {
      outcome = FAILED;
    }
    return "q" + partId + " " + outcome + " 1 latency_ms=1,queue=0\nvalue";
  }

  private String endpointList() {
    int cells = settings.layout().cells();
    JsonArray endpoints = new JsonArray();
    for (int index = 0; index < REPLICAS_PER_CELL * cells; index++) {
      endpoints.add(
          new JsonObject()
              .add("instanceId", "s" + index)
              .add("hostPort", host + ":" + server.actualPort())
              .add("zone", settings.zones().isEmpty() ? "" : settings.zones().get(0))
              .add("cell", index % cells)
              .add("lifecycle", "ready"));
    }
    return new JsonObject().add("generation", 1).add("reset", true).add("instances", endpoints)
        + "\n";
  }

  /** One connection; its first byte distinguishes HTTP from frames. */
  private final class Connection {
    /** Size of a frame's header: its length as a little-endian 32-bit integer, and its type. */
    private static final int HEADER_BYTES = 5;

    private static final int LENGTH_BYTES = HEADER_BYTES - 1;
    private static final char CALL_FRAME = 'm';
    private static final char HTTP_GET = 'G';

    private final NetSocket socket;
    private Buffer unread = Buffer.buffer();

    Connection(NetSocket socket) {
      this.socket = socket;
    }

    void read(Buffer bytes) {
      unread.appendBuffer(bytes);
      if (unread.getByte(0) == HTTP_GET) {
        sendEndpointList();
        return;
      }
      while (unread.length() >= HEADER_BYTES && unread.length() >= frameEnd()) {
        int end = frameEnd();
        if (unread.getByte(LENGTH_BYTES) == CALL_FRAME) {
          unread
              .getString(HEADER_BYTES, end)
              .lines()
              .filter(line -> !line.isEmpty())
              .forEach(this::reply);
        }
        unread = unread.getBuffer(end, unread.length());
      }
    }

    private int frameEnd() {
      return LENGTH_BYTES + unread.getIntLE(0);
    }

    private void sendEndpointList() {
      String list = endpointList();
      socket.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(list.length())
              + "\r\n"
              + list
              + "\r\n");
    }

    private void reply(String line) {
      String partId = line.substring(0, line.indexOf(' '));
      byte[] text = nextReply(partId).getBytes(StandardCharsets.UTF_8);
      socket.write(Buffer.buffer().appendUnsignedIntLE(text.length).appendBytes(text));
    }
  }
}

package dunlinhitch.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.core.MicroClock;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A broker that serves itself made-up queries over both of its wires before the real one takes any:
 * all that serving needs is loaded and compiled then. A broker that was ready without it refused a
 * fifth of the queries of its first seconds on part of a core. The build archives the classes from
 * one, too.
 */
public final class WarmUp {
  private static final int CLIENTS = 12;
  private static final int MOST_PARTS = 6;

  /** Clients wait meanwhile. */
  private static final long LONGEST_US = 3_000_000;

  private static final long LEAST_US = 500_000;

  /** What was asked last has its answer by then, or never: a start waits for neither. */
  private static final long ANSWER_US = 1_000_000;

  /**
   * The text of a part ends a line, so that a call is a line for each part and an empty one behind
   * it.
   */
  private static final String TEXT = "\n";

  /** As in service: replicas to choose from, and now and then a part that is sent again. */
  private static final int STORES_A_CELL = 2;

  private static final int TURNED_AWAY = 20;
  private static final int FAILED = 33;
  private static final int PRICE_US = 1000;
  private final Vertx vertx;
  private final Context context;
  private final Settings settings;
  private final String host;
  private final String body;
  private final MicroClock clock = new MicroClock();
  private final long dueUs;
  private final int toServe;
  private int asked;
  private int replies;
  private int served;

  /**
   * {@code host}: where it listens, on ports of its own and for its time only; {@code endUs}: when,
   * by the system's clock, it is better cut short.
   */
  public WarmUp(
      Vertx vertx, Context context, Settings settings, String host, int queries, long endUs) {
    this.vertx = vertx;
    this.context = context;
    this.settings = settings;
    this.host = host;
    toServe = queries;
    long now = clock.getAsLong();
    dueUs = Math.max(now + LEAST_US, Math.min(now + LONGEST_US, endUs));
    body = body(settings.layout().shards());
  }

  private static String body(int shards) {
    int parts = Math.max(1, Math.min(MOST_PARTS, shards));
    JsonArray ranges = new JsonArray();
    for (int shard = 0; shard < parts; shard++) {
      ranges.add(
          Json.object().add("range", shard).add("portion", 1.0 / parts).add("price", PRICE_US));
    }
    return Json.object().add("ranges", ranges).add("predicate", TEXT).toString();
  }

  /**
   * Over when all is asked and the broker has ended; the result is how many queries were served.
   * Without a descriptor left the broker can not accept those whose connections hold them, so what
   * is not answered is not waited for.
   */
  public Future<Integer> run() {
    NetServer peers = vertx.createNetServer();
    NetClient clients = vertx.createNetClient();
    return peers
        .connectHandler(
            socket -> {
              expected(socket);
              socket.handler(new Peer(socket, peers)::read);
            })
        .listen(0, host)
        .compose(
            bound -> {
              Address any = new Address(host, 0);
              Broker broker =
                  new Broker(
                      vertx,
                      context,
                      new Config(
                          "rehearsal",
                          any,
                          null,
                          new Address(host, bound.actualPort()),
                          1,
                          Json.object(),
                          Config.SOCKETS,
                          settings,
                          Product.NONE,
                          null,
                          0),
                      line -> {});
              return broker
                  .start()
                  .compose(
                      port -> {
                        List<Future<Void>> asked = new ArrayList<>();
                        for (int i = 0; i < CLIENTS; i++) {
                          asked.add(ask(clients, port));
                        }
                        Promise<Void> over = Promise.promise();
                        long last =
                            vertx.setTimer(
                                MicroClock.timerMs(clock.getAsLong(), dueUs + ANSWER_US),
                                t -> over.tryComplete());
                        Future.join(asked).onComplete(all -> over.tryComplete());
                        return over.future().onComplete(v -> vertx.cancelTimer(last));
                      })
                  .eventually(clients::close)
                  .eventually(broker::close)
                  .eventually(bound::close);
            })
        .otherwiseEmpty()
        .map(v -> served);
  }

  /** Asks two queries a connection, for clients are new all the time, until none is left to ask. */
  private Future<Void> ask(NetClient clients, int port) {
    return clients
        .connect(port, host)
        .compose(
            socket -> {
              int[] answers = {0};
              expected(socket);
              Promise<Void> closed = Promise.promise();
              socket.closeHandler(v -> closed.tryComplete());
              socket.handler(
                  answer -> {
                    served += answer.toString().startsWith("HTTP/1.1 200") ? 1 : 0;
                    if (++answers[0] < 2 && mayAsk()) {
                      next(socket);
                    } else {
                      socket.close();
                    }
                  });
              next(socket);
              return closed
                  .future()
                  .compose(v -> mayAsk() ? ask(clients, port) : Future.succeededFuture());
            });
  }

  /**
   * All connections end when the rehearsal does, many by a reset. Without a handler Vert.x writes
   * each as an error to the log, and the first line loads what words lines: processor time that a
   * broker is short of just then.
   */
  private static void expected(NetSocket socket) {
    socket.exceptionHandler(e -> {});
  }

  /**
   * What is refused does not count: uncompiled, a broker on part of a core is too late for most of
   * the first.
   */
  private boolean mayAsk() {
    return served < toServe && clock.getAsLong() < dueUs;
  }

  private void next(NetSocket socket) {
    String id = "rehearsal-" + ++asked;
    String path = settings.classes().get(asked % settings.classes().size()).name();
    socket.write(
        "POST /"
            + path
            + " HTTP/1.1\r\nHost: self\r\nX-Trace-Id: "
            + id
            + "\r\nIdempotency-Key: "
            + id
            + "\r\nX-Expires-In: 1.000\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /**
   * Discovery and all stores in one: what asks by HTTP gets the list, each part of a call its
   * reply.
   */
  private final class Peer {
    private static final int HEAD = 5;
    private final NetSocket socket;
    private final NetServer server;
    private Buffer rest = Buffer.buffer();

    Peer(NetSocket socket, NetServer server) {
      this.socket = socket;
      this.server = server;
    }

    void read(Buffer bytes) {
      rest.appendBuffer(bytes);
      if (rest.getByte(0) == 'G') {
        String list = list();
        socket.write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(list.length())
                + "\r\n"
                + list
                + "\r\n");
        return;
      }
      while (rest.length() >= HEAD && rest.length() >= HEAD - 1 + rest.getIntLE(0)) {
        int end = HEAD - 1 + rest.getIntLE(0);
        if (rest.getByte(HEAD - 1) == 'm') {
          rest.getString(HEAD, end).lines().filter(line -> !line.isEmpty()).forEach(this::reply);
        }
        rest = rest.getBuffer(end, rest.length());
      }
    }

    private void reply(String line) {
      String end = ++replies % TURNED_AWAY == 0 ? "later" : replies % FAILED == 0 ? "bad" : "good";
      byte[] text =
          ("q"
                  + line.substring(0, line.indexOf(' '))
                  + " "
                  + end
                  + " 1 latency_ms=1,queue=0\nvalue")
              .getBytes(StandardCharsets.UTF_8);
      socket.write(Buffer.buffer().appendUnsignedIntLE(text.length).appendBytes(text));
    }

    private String list() {
      JsonArray stores = new JsonArray();
      for (int store = 0; store < STORES_A_CELL * settings.layout().cells(); store++) {
        int cell = store % settings.layout().cells();
        stores.add(
            new JsonObject()
                .add("instanceId", "s" + store)
                .add("hostPort", host + ":" + server.actualPort())
                .add("zone", settings.zones().isEmpty() ? "" : settings.zones().get(0))
                .add("cell", cell)
                .add("lifecycle", "ready"));
      }
      return new JsonObject().add("generation", 1).add("reset", true).add("instances", stores)
          + "\n";
    }
  }
}

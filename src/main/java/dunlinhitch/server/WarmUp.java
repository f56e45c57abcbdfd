package dunlinhitch.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
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
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Warm-up of the hot paths: a temporary broker serves synthetic queries, over real client and
 * backend connections, before the real broker accepts clients, so that the code of the hot paths is
 * loaded and compiled. Without a warm-up, a broker with a fraction of a core rejected a fifth of
 * the queries in its first seconds. The build also uses a warm-up to record the classes for the
 * class data sharing (CDS) archive.
 *
 * <p>Runs on the event loop.
 */
public final class WarmUp {
  private static final int CLIENTS = 12;
  private static final int QUERIES_PER_CONNECTION = 2;
  private static final int MAXIMUM_PARTS = 6;

  /** Upper limit of the delay that the warm-up adds to the start. */
  private static final long MAXIMUM_DURATION_US = 3_000_000;

  private static final long MINIMUM_DURATION_US = 500_000;

  /** Timeout for the responses to the last queries. */
  private static final long RESPONSE_TIMEOUT_US = 1_000_000;

  /**
   * Text of each part: a line feed. A call then consists of a line for each part and of empty
   * lines, which {@link WarmUpBackend} skips.
   */
  private static final String PREDICATE = "\n";

  private static final int PART_COST_US = 1000;

  private final Vertx vertx;
  private final Context context;
  private final Settings settings;
  private final String host;
  private final String body;
  private final MicroClock clock = new MicroClock();
  private final long deadlineUs;
  private final int requiredResponses;
  private int sentQueries;
  private int successfulResponses;

  /**
   * Creates a warm-up.
   *
   * @param host the address to listen on, on ephemeral ports
   * @param queries number of completely answered queries after which the warm-up ends
   * @param endUs when to end the warm-up at the latest, in microseconds of the system clock
   */
  public WarmUp(
      Vertx vertx, Context context, Settings settings, String host, int queries, long endUs) {
    this.vertx = vertx;
    this.context = context;
    this.settings = settings;
    this.host = host;
    requiredResponses = queries;
    long nowUs = clock.getAsLong();
    deadlineUs =
        Math.max(nowUs + MINIMUM_DURATION_US, Math.min(nowUs + MAXIMUM_DURATION_US, endUs));
    body = body(settings.layout().shards());
  }

  private static String body(int shards) {
    int parts = Math.max(1, Math.min(MAXIMUM_PARTS, shards));
    JsonArray ranges = new JsonArray();
    for (int shard = 0; shard < parts; shard++) {
      ranges.add(
          Json.object().add("range", shard).add("portion", 1.0 / parts).add("price", PART_COST_US));
    }
    return Json.object().add("ranges", ranges).add("predicate", PREDICATE).toString();
  }

  /**
   * Runs the warm-up; the result is the number of completely answered queries, available once the
   * temporary broker has ended. The result never fails. The duration is bounded, because a broker
   * without a free file descriptor cannot accept the connections of its own clients, and these
   * clients then get no response.
   */
  public Future<Integer> run() {
    WarmUpBackend backend = new WarmUpBackend(vertx, settings, host);
    NetClient client = vertx.createNetClient();
    return backend
        .listen()
        .compose(
            backendPort ->
                serve(new Broker(vertx, context, config(backendPort), line -> {}), client)
                    .eventually(backend::close))
        .otherwiseEmpty()
        .map(v -> successfulResponses);
  }

  private Config config(int discoveryPort) {
    return new Config(
        "rehearsal",
        new Address(host, 0),
        null,
        new Address(host, discoveryPort),
        1,
        Json.object(),
        Config.DEFAULT_SOCKETS,
        settings,
        Product.NONE,
        null,
        0);
  }

  private Future<Void> serve(Broker broker, NetClient client) {
    return broker
        .start()
        .compose(port -> runClients(client, port))
        .eventually(client::close)
        .eventually(broker::close);
  }

  private Future<Void> runClients(NetClient client, int port) {
    List<Future<Void>> connections = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      connections.add(sendQueries(client, port));
    }
    Promise<Void> completed = Promise.promise();
    long timeoutMs = MicroClock.timerMs(clock.getAsLong(), deadlineUs + RESPONSE_TIMEOUT_US);
    long timer = vertx.setTimer(timeoutMs, id -> completed.tryComplete());
    Future.join(connections).onComplete(all -> completed.tryComplete());
    return completed.future().onComplete(v -> vertx.cancelTimer(timer));
  }

  /** Sends a few queries on each connection, because real clients reconnect frequently. */
  private Future<Void> sendQueries(NetClient client, int port) {
    return client
        .connect(port, host)
        .compose(socket -> new ClientConnection(socket).run())
        .compose(v -> needsMoreQueries() ? sendQueries(client, port) : Future.succeededFuture());
  }

  /**
   * Ignores the exceptions of a connection. All connections end with the warm-up, many by a reset,
   * and without a handler Vert.x logs each. Loading the logger's classes would take processor time
   * that a starting broker lacks.
   */
  static void ignoreExceptions(NetSocket socket) {
    socket.exceptionHandler(exception -> {});
  }

  /**
   * Returns whether to send more queries. Rejected queries do not count as answered: until its code
   * is compiled, a broker with a fraction of a core answers most queries too late.
   */
  private boolean needsMoreQueries() {
    return successfulResponses < requiredResponses && clock.getAsLong() < deadlineUs;
  }

  private String nextQuery() {
    sentQueries++;
    String id = "rehearsal-" + sentQueries;
    String path = settings.classes().get(sentQueries % settings.classes().size()).name();
    return "POST /"
        + path
        + " HTTP/1.1\r\nHost: self\r\nX-Trace-Id: "
        + id
        + "\r\nIdempotency-Key: "
        + id
        + "\r\nX-Expires-In: 1.000\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** One client connection, which is closed after its last response. */
  private final class ClientConnection {
    private final NetSocket socket;
    private final Promise<Void> closed = Promise.promise();
    private int responses;

    ClientConnection(NetSocket socket) {
      this.socket = socket;
    }

    Future<Void> run() {
      ignoreExceptions(socket);
      socket.closeHandler(v -> closed.tryComplete());
      socket.handler(this::onResponse);
      socket.write(nextQuery());
      return closed.future();
    }

    private void onResponse(Buffer response) {
      if (response.toString().startsWith("HTTP/1.1 200")) {
        successfulResponses++;
      }
      responses++;
      if (responses < QUERIES_PER_CONNECTION && needsMoreQueries()) {
        socket.write(nextQuery());
      } else {
        socket.close();
      }
    }
  }
}

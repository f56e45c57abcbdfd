package dunlinhitch.frontend.http;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.flow.http.PacedReader;
import dunlinhitch.frontend.GracefulShutdown;
import dunlinhitch.frontend.GracefulShutdown.Disposition;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The connections of clients and their timeouts. Closes connections that send nothing or never
 * complete a request, because they occupy file descriptors and memory that clients with a query
 * need. {@link GracefulShutdown} controls the shutdown and guarantees that a connection with an
 * unread request is not closed.
 *
 * <p>Used on the event loop only.
 */
final class ClientConnections {
  /**
   * Maximum time in which a request must be received completely. The time of the first request
   * starts when the connection is accepted; the time of each later request starts with its first
   * byte.
   */
  private static final long REQUEST_TIMEOUT_US = 2_500_000;

  /** Time in which a usual client sends a whole request. */
  private static final long USUAL_REQUEST_US = 500_000;

  private static final long IDLE_TIMEOUT_US = 5_000_000;

  /** The idle timeout while more than a quarter of the allowed connections are open. */
  private static final long BUSY_IDLE_TIMEOUT_US = 2_000_000;

  private static final int BUSY_DIVISOR = 4;

  /** A client that reads nothing of its response for this long is disconnected. */
  private static final long WRITE_TIMEOUT_US = 5_000_000;

  private static final long LINGER_US = 1_000_000;
  private static final long US_PER_MS = 1000;

  /** Maximum transit time of a request that the client has sent before it reads the close. */
  static final long REQUEST_TRANSIT_US = 150_000;

  /** Shutdown actions that the frontend implements. */
  interface Host {
    /** Refuses a request whose head was read, with a response that closes the connection. */
    void refuse(HttpServerRequest request);

    void closeListener();

    void closed();
  }

  private enum Stage {
    /** Nothing was received yet on the connection. */
    NEW,
    /** Some bytes of a request were received. */
    READING_HEAD,
    /** The head of a request was read, but not its complete body. */
    READING_BODY,
    /** A complete request waits for its response. */
    AWAITING_RESPONSE,
    IDLE
  }

  private static final class ClientConnection {
    private final HttpConnection connection;
    private final long acceptedUs;

    private final PacedReader reader;

    private LingeringClose channel;
    private Stage stage = Stage.NEW;
    private long stageSinceUs;
    private boolean firstRequest = true;

    /** The last request that was read; null once its response is written. */
    private HttpServerRequest request;

    /**
     * Reports a disconnect of the client to its last query; has no effect once that query is
     * completed.
     */
    private Runnable onDisconnect = () -> {};

    /**
     * True if the next response is the last one because the client exceeded the bound of {@link
     * PacedReader}.
     */
    private boolean flooded;

    /**
     * True if the next response is the last one because no other connection could be evicted when
     * this one was accepted.
     */
    private boolean excess;

    /** True while the last response is being written. */
    private boolean closing;

    ClientConnection(HttpConnection connection, long acceptedUs, PacedReader reader) {
      this.reader = reader;
      this.connection = connection;
      this.acceptedUs = acceptedUs;
      stageSinceUs = acceptedUs;
    }
  }

  /** Open connections in the order in which they were accepted. */
  private final Map<HttpConnection, ClientConnection> connections = new LinkedHashMap<>();

  /** Half-closed connections, which still hold file descriptors, in the order of their close. */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  private final IntSupplier maxConnections;
  private final int maxDescriptors;
  private final LongSupplier clock;
  private final Consumer<Event> events;
  private final GracefulShutdown<ClientConnection> shutdown;
  private long shutdownDeadlineUs = Long.MAX_VALUE;

  /**
   * Creates a table without connections.
   *
   * @param maxDescriptors maximum number of open and lingering connections together
   */
  ClientConnections(
      IntSupplier maxConnections,
      int maxDescriptors,
      LongSupplier clock,
      Consumer<Event> events,
      Host host) {
    this.maxConnections = maxConnections;
    this.maxDescriptors = maxDescriptors;
    this.clock = clock;
    this.events = events;
    shutdown = new GracefulShutdown<>(new ShutdownActions(host), REQUEST_TRANSIT_US);
  }

  /**
   * Adds an accepted connection. Above the bound, a connection without an open query is evicted; if
   * there is none, the first response on the new connection is its last.
   */
  void accepted(HttpConnection connection, PacedReader reader) {
    ClientConnection client = new ClientConnection(connection, clock.getAsLong(), reader);
    client.channel = LingeringClose.install(connection, new ChannelListener(client), clock);
    connection.closeHandler(ignored -> onDisconnected(client));
    if (connections.size() >= maxConnections.getAsInt()) {
      client.excess = !evictOne();
      events.accept(new Event.ConditionCounted(Counter.CLIENTS_EVICTED));
    }
    connections.put(connection, client);
    shutdown.accepted(client.acceptedUs, client);
    abortLingeringAboveBound();
  }

  /**
   * Evicts the connection whose loss is least harmful: a connection that has long sent nothing if
   * there is one, else the one whose request has been incomplete for longest and longer than a
   * usual client takes, else the connection that has been idle for longest, else a connection that
   * was accepted just now, else one whose request has just begun.
   */
  private boolean evictOne() {
    long nowUs = clock.getAsLong();
    List<ClientConnection> candidates = new ArrayList<>(connections.values());
    candidates.removeIf(client -> client.stage == Stage.AWAITING_RESPONSE);
    candidates.sort(
        Comparator.<ClientConnection>comparingInt(client -> evictionCost(client, nowUs))
            .thenComparingLong(client -> client.stageSinceUs));
    return candidates.stream().anyMatch(client -> close(nowUs, client));
  }

  private static int evictionCost(ClientConnection client, long nowUs) {
    boolean older = nowUs - client.stageSinceUs > USUAL_REQUEST_US;
    return switch (client.stage) {
      case NEW -> older ? 0 : 3;
      case IDLE -> 2;
      default -> older ? 1 : 4;
    };
  }

  /** Adds to the memory of a request, whether or not there is room, until its response. */
  void addMemory(HttpServerRequest request, long bytes) {
    ClientConnection client = connections.get(request.connection());
    if (client != null) {
      client.reader.memory().addForRequest(bytes);
    }
  }

  /** Adds to the memory of a request until its response; returns false if there is no room. */
  boolean useMemory(HttpServerRequest request, long bytes) {
    ClientConnection client = connections.get(request.connection());
    return client != null && client.reader.memory().useForRequest(bytes);
  }

  private void abortLingeringAboveBound() {
    while (!lingering.isEmpty() && connections.size() + lingering.size() >= maxDescriptors) {
      ClientConnection oldest = lingering.iterator().next();
      lingering.remove(oldest);
      oldest.channel.abort();
    }
  }

  private void onBytesReceived(ClientConnection client) {
    if (client.stage == Stage.NEW || client.stage == Stage.IDLE) {
      enter(client, Stage.READING_HEAD);
      shutdown.requestStarted(client);
    }
  }

  private void onHalfClose(ClientConnection client) {
    shutdown.halfClosed(client);
    if (connections.remove(client.connection) != null) {
      lingering.add(client);
      abortLingeringAboveBound();
    }
  }

  private void onDisconnected(ClientConnection client) {
    connections.remove(client.connection);
    lingering.remove(client);
    shutdown.disconnected(client);
  }

  /**
   * Handles the head of a request.
   *
   * @return false if the connection closes with an earlier response and the request must be ignored
   */
  boolean headReceived(HttpServerRequest request) {
    ClientConnection client = connections.get(request.connection());
    if (client == null || client.closing) {
      return false;
    }
    // a pipelined request: Vert.x reads it while the previous response is being ended
    if (client.request != null) {
      shutdown.responseWritten(client, false);
      client.reader.memory().requestEnded();
    }
    shutdown.requestStarted(client);
    client.request = request;
    long startedUs = client.stage == Stage.READING_HEAD ? client.stageSinceUs : clock.getAsLong();
    enter(client, Stage.READING_BODY);
    client.stageSinceUs = startedUs;
    return true;
  }

  /** Records that a request was received completely; returns how to handle it. */
  @SuppressWarnings("ReferenceEquality") // compares whether it is the same request object
  Disposition requestReceived(HttpServerRequest request) {
    ClientConnection client = connections.get(request.connection());
    if (client == null || client.closing || client.request != request) {
      return Disposition.DROP;
    }
    enter(client, Stage.AWAITING_RESPONSE);
    Disposition disposition = shutdown.requestReceived(client);
    return disposition == Disposition.FORWARD && client.excess ? Disposition.REFUSE : disposition;
  }

  /** Sets the callback for a disconnect of the client of the last received query. */
  void onDisconnect(HttpServerRequest request, Runnable onDisconnect) {
    ClientConnection client = connections.get(request.connection());
    if (client != null) {
      client.onDisconnect = onDisconnect;
    }
  }

  /** Returns true if the next response closes its connection. */
  boolean isLastResponse(HttpConnection connection) {
    ClientConnection client = connections.get(connection);
    return shutdown.isDraining() || client == null || client.flooded || client.excess;
  }

  /**
   * Records that the last response of a connection is being written; later requests on it are
   * ignored.
   */
  void closing(HttpConnection connection) {
    ClientConnection client = connections.get(connection);
    if (client != null) {
      client.closing = true;
    }
  }

  /** Records that the response to a request was written. */
  @SuppressWarnings("ReferenceEquality") // compares whether it is the same request object
  void responseWritten(HttpServerRequest request) {
    ClientConnection client = connections.get(request.connection());
    if (client == null || client.request != request) { // the next request is already being read
      return;
    }
    client.request = null;
    client.reader.memory().requestEnded();
    boolean nextStarted = !client.closing && client.reader.hasUndecodedBytes();
    enter(client, nextStarted ? Stage.READING_HEAD : Stage.IDLE);
    shutdown.responseWritten(client, client.closing);
    if (nextStarted) {
      shutdown.requestStarted(client);
    }
  }

  private void enter(ClientConnection client, Stage stage) {
    client.stage = stage;
    client.stageSinceUs = clock.getAsLong();
    client.firstRequest &= stage == Stage.READING_HEAD || stage == Stage.READING_BODY;
  }

  private long timeoutAtUs(ClientConnection client) {
    return switch (client.stage) {
      case NEW -> client.acceptedUs + REQUEST_TIMEOUT_US;
      case READING_HEAD, READING_BODY -> {
        long startedUs = client.firstRequest ? client.acceptedUs : client.stageSinceUs;
        yield startedUs + REQUEST_TIMEOUT_US;
      }
      case AWAITING_RESPONSE -> Long.MAX_VALUE;
      case IDLE -> client.stageSinceUs + idleTimeoutUs();
    };
  }

  private long idleTimeoutUs() {
    return BUSY_DIVISOR * connections.size() > maxConnections.getAsInt()
        ? BUSY_IDLE_TIMEOUT_US
        : IDLE_TIMEOUT_US;
  }

  /** Closes connections whose timeout has passed; must be called periodically. */
  void closeTimedOut() {
    long nowUs = clock.getAsLong();
    for (ClientConnection client : List.copyOf(connections.values())) {
      Counter reason = client.stage == Stage.IDLE ? Counter.CLIENTS_IDLE : Counter.CLIENTS_SLOW;
      boolean writeStalled = client.channel.writeStalledSinceUs() < nowUs - WRITE_TIMEOUT_US;
      if (writeStalled) {
        client.channel.abort();
      }
      if (writeStalled || (nowUs >= timeoutAtUs(client) && close(nowUs, client))) {
        events.accept(new Event.ConditionCounted(reason));
      }
    }
  }

  private boolean close(long nowUs, ClientConnection client) {
    return shutdown.closeIfIdle(nowUs, client) || shutdown.refuseIfIncomplete(client);
  }

  // ---- shutdown

  /**
   * Starts the drain: each response is the last of its connection; see {@link GracefulShutdown}.
   */
  void drain(boolean closeIdle) {
    shutdown.drain(clock.getAsLong(), closeIdle);
  }

  /** Starts to refuse queries; all connections are closed by the deadline. */
  void refuse(long deadlineUs) {
    shutdownDeadlineUs = deadlineUs;
    shutdown.refuse(clock.getAsLong(), deadlineUs);
  }

  /** Advances the shutdown; must be called every few milliseconds. */
  void advanceShutdown() {
    shutdown.advance(clock.getAsLong());
  }

  /** Records that the listener is closed. */
  void listenerClosed() {
    shutdown.listenerClosed(clock.getAsLong());
  }

  /**
   * Records that the client exceeded the bound of {@link PacedReader}: its connection closes with
   * the next response.
   */
  void flooded(HttpConnection connection) {
    ClientConnection client = connections.get(connection);
    if (client != null) {
      client.flooded = true;
    }
  }

  /** Receives the events of one connection's channel. */
  private final class ChannelListener implements LingeringClose.Listener {
    private final ClientConnection client;

    ChannelListener(ClientConnection client) {
      this.client = client;
    }

    @Override
    public void bytesReceived() {
      onBytesReceived(client);
    }

    @Override
    public void halfClosing() {
      onHalfClose(client);
    }

    @Override
    public void closed() {
      client.onDisconnect.run();
    }

    @Override
    public long lingerMs() {
      long lingerUs = Math.min(LINGER_US, shutdownDeadlineUs - clock.getAsLong());
      return (lingerUs + US_PER_MS - 1) / US_PER_MS;
    }
  }

  private final class ShutdownActions implements GracefulShutdown.Actions<ClientConnection> {
    private final Host host;

    ShutdownActions(Host host) {
      this.host = host;
    }

    @Override
    public void readOnce(ClientConnection client) {
      client.channel.readOnce();
      client.reader.handleReceived();
    }

    @Override
    public void halfClose(ClientConnection client) {
      client.connection.close();
    }

    @Override
    public void refuse(ClientConnection client) {
      if (client.request == null) {
        client.channel.refuse();
      } else {
        host.refuse(client.request);
      }
    }

    @Override
    public void closeListener() {
      host.closeListener();
    }

    @Override
    public void closed() {
      List.copyOf(lingering).forEach(client -> client.channel.abort());
      host.closed();
    }
  }
}

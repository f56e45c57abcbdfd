package dunlinhitch.backend.frames;

import dunlinhitch.backend.BackendTransport;
import dunlinhitch.backend.LoadReportParser;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.endpoints.Endpoint;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Transport to a store over the frame protocol: a few connections, opened on demand, each with many
 * attempts in flight at once. Used on the event loop only.
 */
public final class FrameTransport implements BackendTransport {
  /**
   * This side closes an idle connection after this fraction of the store's idle timeout, so that no
   * call is sent while the store closes the connection.
   */
  private static final double IDLE_SHARE = 0.8;

  /**
   * The idle timeout that applies if none is set. It is small enough that adding it to a time
   * cannot overflow.
   */
  private static final long NO_IDLE_TIMEOUT_US = Long.MAX_VALUE / 4;

  /** Maximum number of connections to one store. */
  private static final int MAX_CONNECTIONS = 8;

  private static final float[] NO_REPORT = {};

  /** Resources that all frame transports of a broker share. */
  public static final class Shared {
    final Vertx vertx;
    final LivenessCheckDelay livenessCheckDelay = new LivenessCheckDelay();
    final LoadReportParser reports;
    final LongSupplier clock;
    final Consumer<Event> events;
    private final NetClient client;
    private final Supplier<Limits> limits;
    private final IntSupplier maxConnections;

    /** Number of connections to all stores that hold a file descriptor. */
    private int connections;

    /**
     * Creates the shared resources.
     *
     * @param maxConnections maximum number of open connections to all stores together
     * @param clock microseconds
     * @param events called on the event loop
     */
    public Shared(
        Vertx vertx,
        Supplier<Limits> limits,
        IntSupplier maxConnections,
        LoadReportParser reports,
        LongSupplier clock,
        Consumer<Event> events) {
      this.vertx = vertx;
      this.limits = limits;
      this.maxConnections = maxConnections;
      this.reports = reports;
      this.clock = clock;
      this.events = events;
      client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    Limits limits() {
      return limits.get();
    }

    /** Connects within the connect timeout of the settings, if one is set. */
    Future<NetSocket> connect(String host, int port) {
      ConnectOptions options = new ConnectOptions().setHost(host).setPort(port);
      long nowUs = clock.getAsLong();
      long timeoutUs = limits().connectTimeoutUs();
      if (timeoutUs > 0) {
        options.setTimeout((int) MicroClock.timerMs(nowUs, nowUs + timeoutUs));
      }
      return client.connect(options);
    }

    /** Idle time in microseconds after which a connection is closed instead of reused. */
    long idleTimeoutUs() {
      return limits().connectionIdleUs() <= 0
          ? NO_IDLE_TIMEOUT_US
          : (long) (IDLE_SHARE * limits().connectionIdleUs());
    }

    private boolean hasFreeConnection() {
      return connections < maxConnections.getAsInt();
    }
  }

  private final Shared shared;
  private final Endpoint endpoint;
  private final List<FrameConnection> connections = new ArrayList<>();
  private ServerState state = ServerState.READY;
  private boolean disabled;

  /** Creates a transport without connections to the endpoint's address. */
  public FrameTransport(Shared shared, Endpoint endpoint) {
    this.shared = shared;
    this.endpoint = endpoint;
  }

  @Override
  public void send(List<AttemptRequest> parts) {
    FrameConnection connection = acceptsCalls() ? connectionForCall(parts) : null;
    if (connection == null) {
      for (AttemptRequest part : parts) {
        shared.events.accept(
            Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.CONNECT_FAILED));
      }
      return;
    }
    connection.send(parts);
  }

  private boolean acceptsCalls() {
    return state != ServerState.GONE && state != ServerState.WITHDRAWN && !disabled;
  }

  /**
   * Returns an established connection if possible, else one that is connecting or a new one; null
   * if a call cannot be sent on any of them and no new one may be opened.
   */
  private FrameConnection connectionForCall(List<AttemptRequest> parts) {
    Set<String> partIds = parts.stream().map(AttemptRequest::partId).collect(Collectors.toSet());
    FrameConnection best = null;
    for (FrameConnection candidate : List.copyOf(connections)) {
      boolean suitable =
          candidate.accepts(parts.size(), partIds) && writesBeforeStateChange(candidate);
      if (suitable && (best == null || (candidate.isOpen() && !best.isOpen()))) {
        best = candidate;
      }
    }
    return best == null && mayOpen() ? open() : best;
  }

  /**
   * Returns true if the store is ready or a call can be written to the connection immediately. Once
   * the store has left the ready state, calls that would have to wait may not be sent to the store.
   */
  private boolean writesBeforeStateChange(FrameConnection connection) {
    return state == ServerState.READY || (connection.isOpen() && !connection.isWriting());
  }

  @Override
  public boolean cancel(long attempt, boolean confirm) {
    boolean found = false;
    for (FrameConnection connection : List.copyOf(connections)) {
      found |= connection.cancel(attempt, confirm);
    }
    return found;
  }

  @Override
  public void withdraw(long attempt) {
    List.copyOf(connections).forEach(connection -> connection.withdraw(attempt));
  }

  @Override
  public void sendHealthCheck(long healthCheck) {
    FrameConnection connection = disabled ? null : connectionForHealthCheck();
    if (connection == null) {
      shared.events.accept(
          new Event.HealthCheckCompleted(healthCheck, AttemptOutcome.CONNECT_FAILED, NO_REPORT));
      return;
    }
    connection.sendHealthCheck(healthCheck);
  }

  private FrameConnection connectionForHealthCheck() {
    FrameConnection best = null;
    // iterates over a copy because accepts() closes a connection that was idle for too long
    for (FrameConnection candidate : List.copyOf(connections)) {
      if (candidate.accepts(0, Set.of()) && (best == null || candidate.isOpen())) {
        best = candidate;
      }
    }
    return best == null && mayOpen() ? open() : best;
  }

  private boolean mayOpen() {
    return state == ServerState.READY
        && !disabled
        && connections.size() < MAX_CONNECTIONS
        && shared.hasFreeConnection();
  }

  private boolean mayCheckLiveness() {
    return state == ServerState.READY
        && !disabled
        && shared.limits().mayHealthCheck()
        && shared.limits().connectTimeoutUs() > 0;
  }

  private FrameConnection open() {
    shared.events.accept(new Event.ConditionCounted(Counter.CONNECTIONS_OPENED));
    FrameConnection opened =
        new FrameConnection(
            shared, this::mayCheckLiveness, connections::remove, () -> shared.connections--);
    shared.connections++;
    connections.add(opened);
    opened.connect(endpoint.host(), endpoint.port());
    return opened;
  }

  @Override
  public void closeIdleConnections() {
    List.copyOf(connections).stream()
        .filter(FrameConnection::isIdle)
        .forEach(FrameConnection::close);
  }

  @Override
  public void updateState(ServerState newState) {
    state = newState;
    if (newState != ServerState.READY) {
      List.copyOf(connections).forEach(FrameConnection::failPending);
      closeWriting();
    }
    if (newState == ServerState.GONE) {
      List.copyOf(connections).forEach(FrameConnection::drain);
    }
  }

  @Override
  public void setDisabled(boolean disabled) {
    this.disabled = disabled;
    if (disabled) {
      List.copyOf(connections).stream()
          .filter(connection -> !connection.isOpen())
          .forEach(FrameConnection::close);
      closeWriting();
    }
  }

  /** Closes connections with a partly written call, so that the rest of the call is never sent. */
  private void closeWriting() {
    List.copyOf(connections).stream()
        .filter(FrameConnection::isWriting)
        .forEach(FrameConnection::close);
  }

  @Override
  public boolean isIdle() {
    return connections.stream().allMatch(FrameConnection::isIdle);
  }

  @Override
  public void close() {
    List.copyOf(connections).forEach(FrameConnection::abort);
  }
}

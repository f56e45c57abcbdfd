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
 * The way to a store that speaks frames: a few connections, opened at need, each with many parts
 * out at once.
 */
public final class FrameTransport implements BackendTransport {
  /**
   * Of the time after which a store closes an idle connection: ours goes first, so that no send
   * crosses.
   */
  private static final double IDLE_SHARE = 0.8;

  private static final int MOST_CONNECTIONS = 8;

  /** What all frame transports of a broker share. */
  public static final class Shared {
    final Vertx vertx;
    private final NetClient client;
    private final Supplier<Limits> limits;
    private final IntSupplier mostConnections;
    private int connections;
    final Quiet quiet = new Quiet();
    final LoadReportParser reports;
    final LongSupplier clock;
    final Consumer<Event> events;

    /** {@code mostConnections}: to all stores together. */
    public Shared(
        Vertx vertx,
        Supplier<Limits> limits,
        IntSupplier mostConnections,
        LoadReportParser reports,
        LongSupplier clock,
        Consumer<Event> events) {
      this.vertx = vertx;
      this.limits = limits;
      this.mostConnections = mostConnections;
      this.reports = reports;
      this.clock = clock;
      this.events = events;
      client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    Limits limits() {
      return limits.get();
    }

    /** Connects by the time that the settings allow from now. */
    Future<NetSocket> connect(String host, int port) {
      ConnectOptions to = new ConnectOptions().setHost(host).setPort(port);
      long now = clock.getAsLong();
      return client.connect(
          limits().connectTimeoutUs() <= 0
              ? to
              : to.setTimeout((int) MicroClock.timerMs(now, now + limits().connectTimeoutUs())));
    }

    long idleAfterUs() {
      return limits().connectionIdleUs() <= 0
          ? Long.MAX_VALUE / 4
          : (long) (IDLE_SHARE * limits().connectionIdleUs());
    }
  }

  private final Shared shared;
  private final Endpoint entry;
  private final List<FrameConnection> connections = new ArrayList<>();
  private ServerState state = ServerState.READY;
  private boolean barred;

  public FrameTransport(Shared shared, Endpoint entry) {
    this.shared = shared;
    this.entry = entry;
  }

  @Override
  public void call(List<AttemptRequest> parts) {
    Set<String> ids = parts.stream().map(AttemptRequest::partId).collect(Collectors.toSet());
    FrameConnection best = null;
    if (state != ServerState.GONE && state != ServerState.WITHDRAWN && !barred) {
      for (FrameConnection c : List.copyOf(connections)) {
        // one that is still to come up, or to write, would take the call past the word that the
        // store drains
        boolean fits =
            c.takes(parts.size(), ids)
                && (state == ServerState.READY || (c.isOpen() && !c.isWriting()));
        if (fits && (best == null || (c.isOpen() && !best.isOpen()))) {
          best = c;
        }
      }
      if (best == null && mayOpen()) {
        best = open();
      }
    }
    if (best == null) {
      parts.forEach(
          p ->
              shared.events.accept(
                  Event.AttemptCompleted.of(p.attempt(), AttemptOutcome.CONNECT_FAILED)));
      return;
    }
    best.call(parts);
  }

  @Override
  public boolean giveUp(long attempt) {
    boolean found = false;
    for (FrameConnection c : List.copyOf(connections)) {
      found |= c.giveUp(attempt);
    }
    return found;
  }

  @Override
  public void withdraw(long attempt) {
    List.copyOf(connections).forEach(c -> c.withdraw(attempt));
  }

  @Override
  public void probe(long probe) {
    FrameConnection best = null;
    for (FrameConnection c :
        barred
            ? List.<FrameConnection>of()
            : List.copyOf(connections)) { // one that stood idle for long closes on being asked
      if (c.takes(0, Set.of()) && (best == null || c.isOpen())) {
        best = c;
      }
    }
    if (best == null && mayOpen()) {
      best = open();
    }
    if (best == null) {
      shared.events.accept(
          new Event.HealthCheckCompleted(probe, AttemptOutcome.CONNECT_FAILED, new float[0]));
      return;
    }
    best.probe(probe);
  }

  private boolean mayOpen() {
    return state == ServerState.READY
        && !barred
        && connections.size() < MOST_CONNECTIONS
        && shared.connections < shared.mostConnections.getAsInt();
  }

  private boolean mayCheck() {
    return state == ServerState.READY
        && !barred
        && shared.limits().mayHealthCheck()
        && shared.limits().connectTimeoutUs() > 0;
  }

  private FrameConnection open() {
    shared.events.accept(new Event.ConditionCounted(Counter.CONNECTIONS_OPENED));
    FrameConnection made =
        new FrameConnection(
            shared, this::mayCheck, connections::remove, () -> shared.connections--);
    shared.connections++;
    connections.add(made);
    made.connect(entry.host(), entry.port());
    return made;
  }

  @Override
  public void release() {
    List.copyOf(connections).stream()
        .filter(FrameConnection::isIdle)
        .forEach(FrameConnection::close);
  }

  @Override
  public void state(ServerState told) {
    state = told;
    if (told != ServerState.READY) {
      List.copyOf(connections).forEach(FrameConnection::dropWaiting);
      closeWriting();
    }
    if (told == ServerState.GONE) {
      List.copyOf(connections).forEach(FrameConnection::closeWhenIdle);
    }
  }

  @Override
  public void barred(boolean out) {
    barred = out;
    if (out) {
      List.copyOf(connections).stream().filter(c -> !c.isOpen()).forEach(FrameConnection::close);
      closeWriting();
    }
  }

  /** What is not whole in the kernel's hands by now would reach the store later. */
  private void closeWriting() {
    List.copyOf(connections).stream()
        .filter(FrameConnection::isWriting)
        .forEach(FrameConnection::close);
  }

  @Override
  public boolean idle() {
    return connections.stream().allMatch(FrameConnection::isIdle);
  }

  @Override
  public void close() {
    List.copyOf(connections).forEach(FrameConnection::close);
  }
}

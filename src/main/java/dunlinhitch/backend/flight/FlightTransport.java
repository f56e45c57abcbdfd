package dunlinhitch.backend.flight;

import dunlinhitch.backend.BackendTransport;
import dunlinhitch.backend.PendingCalls;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.endpoints.Endpoint;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.flight.CallOption;
import org.apache.arrow.flight.CallOptions;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightGrpcUtils;

/**
 * Transport to a store over Arrow Flight: a DoGet for each call, on one channel. No call is sent
 * before the channel is connected, so a pending call cannot have run; attempts in flight when the
 * channel breaks may have run.
 *
 * <p>Used on the event loop, except for {@link #mustNotSend}, which the reader threads evaluate
 * just before they send a call.
 */
final class FlightTransport implements BackendTransport {
  private static final int MAX_MESSAGE_BYTES = 256 * 1024;

  /** Maximum number of attempts in flight to one store. */
  private static final int MAX_IN_FLIGHT = 256;

  /** This side closes an idle connection after this fraction of the store's idle timeout. */
  private static final double IDLE_SHARE = 0.8;

  /**
   * If a cancelled attempt was sent this long ago and no reply has arrived since, the host is
   * considered dead rather than busy.
   */
  private static final long UNRESPONSIVE_US = 1_000_000;

  /** The reply to a health check from a store that considers itself unhealthy. */
  private static final String UNHEALTHY = "bad";

  private static final float[] NO_REPORT = {};

  /**
   * A call in flight.
   *
   * @param connection the number of the connection on which it was started
   */
  private record SentCall(FlightCall call, long connection) {}

  private final FlightTransports shared;
  private final ManagedChannel channel;
  private final FlightClient client;
  private final FlightActions actions;
  private final FlightLivenessCheck livenessCheck;

  /** The call of each attempt in flight, except first passes. */
  private final Map<Long, SentCall> calls = new HashMap<>();

  private final FlightFirstPasses firstPasses = new FlightFirstPasses(new FirstPassListener());

  /** Calls that wait until the channel is connected. */
  private final PendingCalls pendingCalls = new PendingCalls();

  /** Also read by reader threads. */
  private volatile ServerState state = ServerState.READY;

  /** Also read by reader and action threads. */
  private volatile boolean disabled;

  /**
   * Number of the latest connect operation; late timers and callbacks of earlier connect operations
   * are ignored.
   */
  private long connectRound;

  /** Number of the current connection; incremented whenever this side stops using a connection. */
  private long connectionNumber;

  /** The time of the last reply to a part or to a liveness check, in microseconds. */
  private long lastReplyUs;

  private boolean closed;

  FlightTransport(FlightTransports shared, Endpoint endpoint) {
    this.shared = shared;
    channel = buildChannel(shared, endpoint);
    client = FlightGrpcUtils.createFlightClientWithSharedChannel(shared.allocator(), channel);
    actions = new FlightActions(shared, client, () -> disabled);
    livenessCheck = new FlightLivenessCheck(shared, actions, new LivenessTarget());
  }

  private static ManagedChannel buildChannel(FlightTransports shared, Endpoint endpoint) {
    NettyChannelBuilder builder =
        NettyChannelBuilder.forAddress(new InetSocketAddress(endpoint.host(), endpoint.port()))
            .usePlaintext()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .executor(shared.callbacks())
            .intercept(new SendHook())
            .disableRetry();
    if (shared.limits().connectionIdleUs() > 0) {
      builder.idleTimeout(
          (long) (IDLE_SHARE * shared.limits().connectionIdleUs()), TimeUnit.MICROSECONDS);
    }
    return builder.build();
  }

  @Override
  public void send(List<AttemptRequest> parts) {
    boolean connected = channel.getState(false) == ConnectivityState.READY;
    if (!accepts(parts, connected)) {
      fail(parts);
      return;
    }
    if (connected) {
      start(parts);
      return;
    }
    pendingCalls.add(parts);
    if (pendingCalls.size() == 1) {
      connect();
    }
  }

  private boolean accepts(List<AttemptRequest> parts, boolean connected) {
    return !closed
        && !disabled
        && state != ServerState.GONE
        && state != ServerState.WITHDRAWN
        && (state != ServerState.DRAINING || connected)
        && calls.size() + firstPasses.size() + parts.size() <= MAX_IN_FLIGHT;
  }

  /**
   * Connects the channel for the pending calls. If the connect timeout passes first, they fail with
   * {@code CONNECT_FAILED}.
   */
  private void connect() {
    long round = ++connectRound;
    shared.events().accept(new Event.ConditionCounted(Counter.CONNECTIONS_OPENED));
    channel.resetConnectBackoff();
    long nowUs = shared.nowUs();
    shared
        .vertx()
        .setTimer(
            MicroClock.timerMs(nowUs, nowUs + shared.limits().connectTimeoutUs()),
            timer -> {
              if (round == connectRound) {
                failPending();
              }
            });
    onChannelState(round, channel.getState(true), true);
  }

  private void onChannelState(long round, ConnectivityState current, boolean initial) {
    if (round != connectRound || pendingCalls.isEmpty()) {
      return;
    }
    if (current == ConnectivityState.READY) {
      pendingCalls.drain().forEach(this::start);
      return;
    }
    // a failure that the channel reports as its initial state belongs to an earlier connect
    // operation
    if (current == ConnectivityState.SHUTDOWN
        || (current == ConnectivityState.TRANSIENT_FAILURE && !initial)) {
      failPending();
      return;
    }
    channel.notifyWhenStateChanged(
        current, () -> shared.onLoop(() -> onChannelState(round, channel.getState(true), false)));
  }

  private void start(List<AttemptRequest> parts) {
    if (parts.get(0).firstPass()) {
      parts.forEach(this::startFirstPass);
      return;
    }
    SentCall sent =
        new SentCall(
            new FlightCall(
                shared, client, parts, this::mustNotSend, new CallListener(connectionNumber)),
            connectionNumber);
    parts.forEach(part -> calls.put(part.attempt(), sent));
    livenessCheck.schedule();
    try {
      shared.readers().execute(sent.call());
    } catch (RejectedExecutionException e) {
      fail(parts); // all reader threads are busy, so the call was not sent
    }
  }

  private void startFirstPass(AttemptRequest part) {
    FlightFirstPassCall call =
        new FlightFirstPassCall(
            shared,
            client,
            part,
            this::mustNotSend,
            firstPasses::onCompleted,
            firstPasses::onReply);
    firstPasses.start(part, call, connectionNumber);
  }

  /**
   * Returns whether a call must not be sent now. Reader threads evaluate this just before they send
   * a call: if the channel has been disconnected, gRPC would queue the call until the channel is
   * connected again.
   */
  private boolean mustNotSend() {
    return disabled
        || state == ServerState.WITHDRAWN
        || state == ServerState.GONE
        || channel.getState(false) != ConnectivityState.READY;
  }

  private void fail(List<AttemptRequest> parts) {
    parts.forEach(part -> complete(part.attempt(), AttemptOutcome.CONNECT_FAILED));
  }

  private void complete(long attempt, AttemptOutcome outcome) {
    complete(Event.AttemptCompleted.of(attempt, outcome));
  }

  private void complete(Event.AttemptCompleted completion) {
    calls.remove(completion.attempt());
    if (isReply(completion.outcome())) {
      lastReplyUs = shared.nowUs();
    }
    shared.events().accept(completion);
    closeIfDrained();
  }

  private static boolean isReply(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.OK
        || outcome == AttemptOutcome.ERROR
        || outcome == AttemptOutcome.FULL;
  }

  @Override
  public boolean cancel(long attempt, boolean confirm) {
    if (pendingCalls.remove(attempt)) {
      if (confirm) {
        release(attempt);
      }
      return true;
    }
    if (firstPasses.cancel(attempt, confirm)) {
      closeIfDrained();
      return true;
    }
    SentCall sent = calls.remove(attempt);
    if (sent == null) {
      return false;
    }
    FlightCall call = sent.call();
    String partId = call.cancel(attempt, confirm);
    call.afterSending(() -> notifyCancelled(partId, attempt, sent.connection(), confirm));
    if (lastReplyUs <= call.sentUs() && shared.nowUs() - call.sentUs() > UNRESPONSIVE_US) {
      // New calls use a fresh connection. It is either established or fails soon.
      leaveConnection();
    }
    closeIfDrained();
    return true;
  }

  /**
   * Notifies the store of a cancellation. The store's confirmation releases the attempt only if the
   * connection has not changed since the call was sent. A confirmation over a later connection does
   * not prove that the store has received the call, which may still be in transit on the earlier
   * connection.
   */
  private void notifyCancelled(String partId, long attempt, long connection, boolean confirm) {
    actions.cancelPart(
        partId,
        actionDueUs(),
        () -> {
          if (confirm && connection == connectionNumber) {
            release(attempt);
          }
        });
  }

  private void release(long attempt) {
    shared.events().accept(new Event.AttemptReleased(attempt));
  }

  /** Stops using the current connection; new calls use a fresh one. */
  private void leaveConnection() {
    connectionNumber++;
    channel.enterIdle();
  }

  @Override
  public void withdraw(long attempt) {
    if (pendingCalls.remove(attempt)) {
      complete(attempt, AttemptOutcome.MOOT);
    } else if (calls.containsKey(attempt)) {
      calls.get(attempt).call().stop(attempt);
    } else {
      firstPasses.withdraw(attempt);
    }
  }

  @Override
  public void sendHealthCheck(long healthCheck) {
    actions.checkHealth(
        actionDueUs(), report -> shared.events().accept(healthCheckCompleted(healthCheck, report)));
  }

  private Event healthCheckCompleted(long healthCheck, Optional<String> report) {
    if (report.isEmpty()) {
      return new Event.HealthCheckCompleted(healthCheck, AttemptOutcome.CONNECT_FAILED, NO_REPORT);
    }
    if (report.get().equals(UNHEALTHY)) {
      return new Event.HealthCheckCompleted(healthCheck, AttemptOutcome.ERROR, NO_REPORT);
    }
    return new Event.HealthCheckCompleted(
        healthCheck, AttemptOutcome.OK, shared.reports().parse(report.get()));
  }

  private long actionDueUs() {
    return shared.nowUs() + shared.limits().connectTimeoutUs();
  }

  /** Returns the call option for a deadline: gRPC expects the remaining time. */
  static CallOption timeout(long dueUs, long nowUs) {
    return CallOptions.timeout(Math.max(1, dueUs - nowUs), TimeUnit.MICROSECONDS);
  }

  @Override
  public void closeIdleConnections() {
    if (isIdle()) {
      leaveConnection();
    }
  }

  @Override
  public void updateState(ServerState newState) {
    state = newState;
    if (newState != ServerState.READY) {
      failPending();
    }
    closeIfDrained();
  }

  @Override
  public void setDisabled(boolean disabled) {
    this.disabled = disabled;
    if (disabled) {
      failPending();
    }
  }

  private void failPending() {
    pendingCalls.drain().forEach(this::fail);
  }

  private void closeIfDrained() {
    if (state == ServerState.GONE && isIdle()) {
      close();
    }
  }

  @Override
  public boolean isIdle() {
    return calls.isEmpty() && firstPasses.isEmpty() && pendingCalls.isEmpty();
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      failPending();
      // The shutdown completes the attempts in flight as reset.
      channel.shutdownNow();
      shared.closeAsync(client);
    }
  }

  /** Starts first passes and reports their outcomes. */
  private final class FirstPassListener implements FlightFirstPasses.Listener {
    @Override
    public void start(FlightFirstPassCall call) {
      try {
        shared.readers().execute(call);
      } catch (RejectedExecutionException e) {
        call.fail();
      }
    }

    @Override
    public void onCompleted(Event.AttemptCompleted completion) {
      complete(completion);
    }

    @Override
    public void onReply(Event.FirstPassCompleted reply) {
      lastReplyUs = shared.nowUs();
      shared.events().accept(reply);
      closeIfDrained();
    }

    @Override
    public void onCancelled(String partId, long attempt, long connection) {
      notifyCancelled(partId, attempt, connection, true);
    }

    @Override
    public void onReleased(long attempt) {
      release(attempt);
    }
  }

  /** Reports the outcomes of a call that was started on one connection. */
  private final class CallListener implements FlightCall.Listener {
    private final long connection;

    CallListener(long connection) {
      this.connection = connection;
    }

    @Override
    public void onCompleted(Event.AttemptCompleted completion) {
      complete(completion);
    }

    @Override
    public void onAbandoned(FlightCall call, String partId, long attempt) {
      call.afterSending(() -> notifyCancelled(partId, attempt, connection, true));
    }

    @Override
    public void onReleased(long attempt) {
      release(attempt);
    }
  }

  /** Connects the liveness check to this transport. */
  private final class LivenessTarget implements FlightLivenessCheck.Target {
    @Override
    public boolean needsLivenessCheck() {
      return !closed
          && !calls.isEmpty()
          && !disabled
          && state == ServerState.READY
          && shared.limits().mayHealthCheck();
    }

    @Override
    public boolean isActive() {
      return !closed && !disabled;
    }

    @Override
    public long oldestSentUs() {
      return calls.values().stream().mapToLong(sent -> sent.call().sentUs()).min().orElseThrow();
    }

    @Override
    public long lastReplyUs() {
      return lastReplyUs;
    }

    @Override
    public void onAlive() {
      lastReplyUs = shared.nowUs();
    }

    @Override
    public void onUnresponsive() {
      leaveConnection();
      Set.copyOf(calls.values()).forEach(sent -> sent.call().abandon());
    }
  }
}

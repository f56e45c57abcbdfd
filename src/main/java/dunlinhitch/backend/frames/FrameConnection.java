package dunlinhitch.backend.frames;

import dunlinhitch.backend.PendingCalls;
import dunlinhitch.backend.RequestText;
import dunlinhitch.backend.frames.InFlightAttempts.InFlightAttempt;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.flow.BoundedReads;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * One connection to a store: its lifecycle from connecting to closed, and the writing of calls. One
 * call at a time is written to the socket. Calls that are queued behind it, or that wait for the
 * connection to be established, can still be withdrawn. Their deadlines are checked again before
 * they are written.
 *
 * <p>Not thread-safe; owned by its transport and used on the event loop only.
 */
final class FrameConnection {
  private static final int WRITE_QUEUE_BYTES = 512 * 1024;

  /**
   * If a cancelled attempt was sent this long ago and nothing has been received since, the host is
   * considered dead rather than busy.
   */
  private static final long UNRESPONSIVE_US = 1_000_000;

  private final FrameTransport.Shared shared;
  private final Consumer<FrameConnection> onClosed;

  /** Called once, when the file descriptor is released. */
  private final Runnable onDescriptorReleased;

  private final PendingCalls pendingCalls = new PendingCalls();
  private final InFlightAttempts inFlight = new InFlightAttempts();
  private final PendingHealthChecks healthChecks = new PendingHealthChecks();
  private final UnconfirmedAttempts unconfirmed;
  private final ConnectionEnd end = new ConnectionEnd();
  private final ReplyReader replyReader;
  private final LivenessCheck livenessCheck;
  private final CancellationConfirmation confirmation;

  /** Null until the connection is established. */
  private NetSocket socket;

  /** Completes once the last written call was completely passed to the kernel. */
  private Future<Void> lastWrite = Future.succeededFuture();

  private boolean closed;

  /** True once the connection accepts no new calls and closes as soon as it is idle. */
  private boolean draining;

  /**
   * True if a cancelled attempt had no reply for {@link #UNRESPONSIVE_US} and nothing has been
   * received since.
   */
  private boolean unresponsive;

  private long lastUsedUs;
  private long lastReceivedUs;

  /**
   * Creates a connection that is not connected yet.
   *
   * @param mayCheck returns false if nothing new may be sent to the store, not even a liveness
   *     check
   * @param onClosed called once, when the connection stops accepting calls and before it completes
   *     its pending calls and attempts in flight
   * @param onDescriptorReleased called once, when the file descriptor is released
   */
  FrameConnection(
      FrameTransport.Shared shared,
      BooleanSupplier mayCheck,
      Consumer<FrameConnection> onClosed,
      Runnable onDescriptorReleased) {
    this.shared = shared;
    this.onClosed = onClosed;
    this.onDescriptorReleased = onDescriptorReleased;
    unconfirmed = new UnconfirmedAttempts(this::release);
    replyReader =
        new ReplyReader(
            shared,
            inFlight,
            healthChecks,
            unconfirmed,
            () -> closed,
            this::close,
            this::closeIfDrained);
    confirmation =
        new CancellationConfirmation(
            shared.vertx,
            () -> !closed && unconfirmed.needsCheck(),
            mayCheck,
            this::sendLivenessCheck,
            this::drain);
    livenessCheck = new LivenessCheck(shared, mayCheck, new LivenessTarget());
    lastUsedUs = nowUs();
    lastReceivedUs = lastUsedUs;
  }

  private long nowUs() {
    return shared.clock.getAsLong();
  }

  /** Opens the connection; calls that are sent before it is established wait. */
  void connect(String host, int port) {
    shared
        .connect(host, port)
        .onComplete(
            result -> {
              if (result.failed()) {
                onDescriptorReleased.run();
                reportClosed(true);
                return;
              }
              onConnected(result.result());
            });
  }

  @SuppressWarnings(
      "FutureReturnValueIgnored") // the close is reported by the channel's closeFuture
  private void onConnected(NetSocket connected) {
    ChannelHandlerContext context = channelContext(connected);
    context.channel().closeFuture().addListener(future -> onDescriptorReleased.run());
    BoundedReads.install(context.channel());
    if (closed) {
      context.close();
      return;
    }
    socket = connected;
    lastReceivedUs = nowUs();
    connected.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
    connected.handler(this::onReceived);
    connected.exceptionHandler(end::onFailure); // the close handler runs after the exception
    connected.closeHandler(ignored -> onSocketClosed());
    writePending();
    healthChecks.drainUnsent().forEach(this::sendHealthCheck);
    closeIfDrained();
  }

  /**
   * The Netty context of a socket. A close through it takes effect immediately, whereas a close
   * through Vert.x is queued behind pending writes.
   */
  private static ChannelHandlerContext channelContext(NetSocket socket) {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }

  boolean isOpen() {
    return socket != null && !closed;
  }

  boolean isIdle() {
    return inFlight.isEmpty()
        && pendingCalls.isEmpty()
        && healthChecks.isEmpty()
        && !replyReader.hasUnverifiedReply();
  }

  /** True while a call is not completely passed to the kernel. */
  boolean isWriting() {
    return !lastWrite.isComplete();
  }

  /**
   * Returns true if a call with this number of parts may be sent on this connection. Closes the
   * connection if it was idle for so long that the store is about to close it.
   */
  boolean accepts(int parts, Set<String> partIds) {
    if (isIdle() && nowUs() - lastUsedUs >= shared.idleTimeoutUs()) {
      close();
    }
    return !closed
        && !draining
        && !unresponsive
        && hasCapacity(parts)
        && partIds.stream().noneMatch(inFlight::mayStillBeAnswered);
  }

  private boolean hasCapacity(int parts) {
    int attempts = inFlight.size() + pendingCalls.attemptCount() + parts;
    return attempts <= shared.limits().streamsPerConnection()
        && (socket == null || !socket.writeQueueFull());
  }

  /**
   * Sends a call as soon as the connection is established and the calls ahead are written. The call
   * fails at once if the connection is already closed. A connection can be closed before its first
   * call if no file descriptor was available.
   */
  void send(List<AttemptRequest> parts) {
    lastUsedUs = nowUs();
    pendingCalls.add(parts);
    if (closed) {
      failPending();
    } else if (socket != null) {
      writePending();
    }
  }

  /**
   * Writes pending calls; parts whose deadline passed while they waited fail without being sent.
   */
  private void writePending() {
    while (!closed && !pendingCalls.isEmpty() && !isWriting()) {
      long nowUs = nowUs();
      List<AttemptRequest> call = pendingCalls.removeFirst();
      List<AttemptRequest> parts = call.stream().filter(part -> part.maySendAt(nowUs)).toList();
      call.stream()
          .filter(part -> !part.maySendAt(nowUs))
          .forEach(part -> complete(part.attempt(), AttemptOutcome.CONNECT_FAILED));
      if (!parts.isEmpty()) {
        write(parts, nowUs);
      }
    }
    closeIfDrained();
  }

  private void write(List<AttemptRequest> parts, long nowUs) {
    lastUsedUs = nowUs;
    char type = parts.get(0).firstPass() ? FrameType.FIRST_PASS_CALL : FrameType.CALL;
    Future<Void> write = socket.write(Frame.encode(type, RequestText.of(parts, nowUs)));
    lastWrite = write;
    for (AttemptRequest part : parts) {
      inFlight.add(
          new InFlightAttempt(part.attempt(), part.partId(), nowUs, write, part.firstPass()));
    }
    boolean writtenAtOnce = write.isComplete();
    write.onFailure(end::onWriteFailure);
    write.onSuccess(
        ignored -> {
          shared.events.accept(new Event.AttemptsWritten(parts.size()));
          if (!writtenAtOnce) {
            writePending();
          }
        });
    livenessCheck.schedule();
  }

  /** Sends a health check, which fails at once on a closed connection. */
  void sendHealthCheck(long healthCheck) {
    lastUsedUs = nowUs();
    if (closed) {
      completeHealthCheck(healthCheck, AttemptOutcome.CONNECT_FAILED);
      return;
    }
    if (socket == null) {
      healthChecks.addUnsent(healthCheck);
      return;
    }
    healthChecks.addSent(healthCheck);
    socket.write(Frame.encode(FrameType.HEALTH_CHECK, ""));
  }

  private boolean removePending(long attempt) {
    boolean removed = pendingCalls.remove(attempt);
    closeIfDrained();
    return removed;
  }

  /** Withdraws an attempt unless its call was completely sent; the store is not notified. */
  void withdraw(long attempt) {
    if (removePending(attempt)) {
      complete(attempt, AttemptOutcome.MOOT);
      return;
    }
    InFlightAttempt withdrawn = inFlight.find(attempt);
    if (withdrawn != null && withdrawn.isIncomplete()) {
      close();
    }
  }

  /**
   * Cancels an attempt and notifies the store.
   *
   * @param confirm whether the release of the attempt is to be reported
   * @return false if the attempt is not on this connection
   */
  boolean cancel(long attempt, boolean confirm) {
    if (removePending(attempt) || replyReader.withdraw(attempt)) {
      if (confirm) {
        release(attempt);
      }
      return true;
    }
    InFlightAttempt cancelled = inFlight.find(attempt);
    if (cancelled == null) {
      return false;
    }
    inFlight.remove(cancelled);
    if (cancelled.isIncomplete()) {
      // Closing the connection prevents the call from running. A cancel frame would be written only
      // after the rest of the call.
      close();
      if (confirm) {
        release(attempt);
      }
      return true;
    }
    inFlight.rememberCancelled(cancelled.partId());
    socket.write(Frame.encode(FrameType.CANCEL, cancelled.partId())).onFailure(end::onWriteFailure);
    if (confirm) {
      unconfirmed.add(cancelled.partId(), attempt);
      confirmation.request();
    }
    // A connection to a dead host stays open, so new calls use a new connection. If the host is
    // dead, connecting soon fails, and the calls have provably not run.
    unresponsive |=
        lastReceivedUs <= cancelled.sentUs() && nowUs() - cancelled.sentUs() > UNRESPONSIVE_US;
    if (unresponsive || draining) {
      drain();
    }
    return true;
  }

  private void sendLivenessCheck() {
    unconfirmed.onCheckSent();
    socket.write(Frame.encode(FrameType.LIVENESS_CHECK, "")).onFailure(end::onWriteFailure);
  }

  private void release(long attempt) {
    shared.events.accept(new Event.AttemptReleased(attempt));
  }

  /**
   * Fails all calls that were not written yet. Called when nothing new may be sent to the store.
   */
  void failPending() {
    for (List<AttemptRequest> parts : pendingCalls.drain()) {
      parts.forEach(part -> complete(part.attempt(), AttemptOutcome.CONNECT_FAILED));
    }
  }

  private void closeIfDrained() {
    if (draining) {
      drain();
    }
  }

  /** Stops accepting new calls and closes the connection once it is idle. */
  void drain() {
    draining = true;
    if (isIdle()) {
      close();
    }
  }

  /**
   * Closes the connection and drops pending writes. The rest of a partly written call must not be
   * written, because the call is reported as never run; an orderly close would write the rest.
   * Pending cancellations can be dropped, because the store cancels all attempts of a closed
   * connection. If the store may still have attempts, only the output is closed at first; the
   * store's end of stream then proves that the store has released these attempts.
   */
  void close() {
    if (closed) {
      return;
    }
    reportClosed(false);
    if (socket == null) {
      return;
    }
    if (unconfirmed.isEmpty()) {
      end.close(channelContext(socket));
    } else {
      end.closeAfterStore(shared.vertx, channelContext(socket));
    }
  }

  /** Closes the connection immediately, without waiting for the store to release attempts. */
  void abort() {
    reportClosed(false);
    if (socket != null) {
      end.close(channelContext(socket));
    }
  }

  private void onSocketClosed() {
    if (end.isInOrder()) {
      replyReader.onEndOfStream();
    }
    reportClosed(end.isKnownToStore());
    if (end.isKnownToStore()) {
      unconfirmed.onConnectionEndedByStore();
    }
  }

  /**
   * Marks the connection as closed and completes its pending calls, attempts in flight and health
   * checks.
   *
   * @param knownToStore false if the store may still have attempts that were written to it
   */
  private void reportClosed(boolean knownToStore) {
    if (closed) {
      return;
    }
    closed = true;
    onClosed.accept(this);
    replyReader.onClosed();
    failPending();
    inFlight.drain().forEach(lost -> completeLost(lost, knownToStore));
    AttemptOutcome outcome = socket == null ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET;
    healthChecks.drain().forEach(healthCheck -> completeHealthCheck(healthCheck, outcome));
  }

  private void completeLost(InFlightAttempt lost, boolean knownToStore) {
    if (lost.isIncomplete()) {
      complete(lost.attempt(), AttemptOutcome.CONNECT_FAILED);
    } else if (knownToStore) {
      complete(lost.attempt(), AttemptOutcome.RESET);
    } else {
      unconfirmed.add(lost.partId(), lost.attempt());
      shared.events.accept(
          Event.AttemptCompleted.unconfirmed(lost.attempt(), AttemptOutcome.RESET));
    }
  }

  private void complete(long attempt, AttemptOutcome outcome) {
    shared.events.accept(Event.AttemptCompleted.of(attempt, outcome));
  }

  private void completeHealthCheck(long healthCheck, AttemptOutcome outcome) {
    shared.events.accept(new Event.HealthCheckCompleted(healthCheck, outcome, new float[0]));
  }

  private void onReceived(Buffer bytes) {
    if (closed) {
      return;
    }
    lastReceivedUs = nowUs();
    lastUsedUs = lastReceivedUs;
    unresponsive = false;
    replyReader.read(bytes, lastReceivedUs);
    closeIfDrained();
  }

  /** Connects the liveness check to this connection. */
  private final class LivenessTarget implements LivenessCheck.Target {
    @Override
    public boolean isClosed() {
      return closed;
    }

    @Override
    public boolean hasInFlightAttempts() {
      return !inFlight.isEmpty();
    }

    @Override
    public long oldestSentUs() {
      return inFlight.oldestSentUs();
    }

    @Override
    public long lastReceivedUs() {
      return lastReceivedUs;
    }

    @Override
    public void sendLivenessCheck() {
      FrameConnection.this.sendLivenessCheck();
    }

    @Override
    public void close() {
      FrameConnection.this.close();
    }
  }
}

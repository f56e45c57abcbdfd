package dunlinhitch.backend.frames;

import dunlinhitch.backend.frames.InFlightAttempts.InFlightAttempt;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/**
 * Converts the bytes received on one connection into events. A malformed frame, or one that stays
 * incomplete for too long, makes the connection unusable; complete frames ahead of it are still
 * handled. The last reply is held back until it is known to be whole, see {@link UnverifiedReply}.
 *
 * <p>Not thread-safe; owned by its connection and used on the event loop only.
 */
final class ReplyReader {
  /** Timeout of an incomplete frame, which delays all frames behind it. */
  private static final long FRAME_TIMEOUT_US = 400_000;

  /** Half of the time without further bytes after which a reply is taken as whole. */
  private static final long HALF_QUIET_MS = 5;

  /** The payload of a health check reply from a store that considers itself unhealthy. */
  private static final String UNHEALTHY = "bad";

  private static final float[] NO_REPORT = {};

  private final FrameTransport.Shared shared;
  private final InFlightAttempts inFlight;
  private final PendingHealthChecks healthChecks;
  private final UnconfirmedAttempts unconfirmed;
  private final BooleanSupplier isClosed;
  private final Runnable closeConnection;
  private final Runnable onNothingHeld;
  private final UnverifiedReply lastReply;
  private final FrameDecoder decoder = new FrameDecoder();
  private final FrameHandler frameHandler = new FrameHandler();

  /** The time at which the bytes that are being read were received, in microseconds. */
  private long receivedUs;

  /** Number of complete frames so far, which identifies the incomplete frame that follows. */
  private long completeFrames;

  private boolean awaitsFrameEnd;

  /** The value of {@link #completeFrames} when the timeout was last started. */
  private long timeoutStartedAt = -1;

  /**
   * Creates a reader for a connection from which nothing was received yet.
   *
   * @param onNothingHeld called when a reply is no longer held back, because a quiet time has
   *     passed or its attempt was cancelled
   */
  ReplyReader(
      FrameTransport.Shared shared,
      InFlightAttempts inFlight,
      PendingHealthChecks healthChecks,
      UnconfirmedAttempts unconfirmed,
      BooleanSupplier isClosed,
      Runnable closeConnection,
      Runnable onNothingHeld) {
    this.shared = shared;
    this.inFlight = inFlight;
    this.healthChecks = healthChecks;
    this.unconfirmed = unconfirmed;
    this.isClosed = isClosed;
    this.closeConnection = closeConnection;
    this.onNothingHeld = onNothingHeld;
    lastReply = new UnverifiedReply(shared.events);
  }

  /** True while a reply was received that is not known to be whole. */
  boolean hasUnverifiedReply() {
    return !lastReply.isEmpty();
  }

  /**
   * Drops a reply that is held back, because its attempt was cancelled.
   *
   * @return false if no reply to this attempt is held back
   */
  boolean withdraw(long attempt) {
    boolean withdrawn = lastReply.withdraw(attempt);
    if (withdrawn) {
      onNothingHeld.run();
    }
    return withdrawn;
  }

  /** Accepts the reply that is held back, unless more bytes have followed it. */
  void onEndOfStream() {
    if (!decoder.hasIncompleteFrame()) {
      lastReply.verify();
    }
  }

  /** Rejects the reply that is held back: nothing can show any more that it was whole. */
  void onClosed() {
    lastReply.reject();
  }

  /** Reads bytes that were received at {@code nowUs}, in microseconds. */
  void read(Buffer bytes, long nowUs) {
    receivedUs = nowUs;
    try {
      decoder.read(bytes, frameHandler);
      awaitFrameEnd();
      awaitQuiet();
    } catch (MalformedFrameException e) {
      onMalformed();
    } catch (RuntimeException | Error fault) {
      // the frame that was being read is lost, so the next bytes would be misread
      closeConnection.run();
      throw fault; // Vert.x reports it
    }
  }

  private void onMalformed() {
    shared.events.accept(new Event.ConditionCounted(Counter.BAD_FRAMES));
    closeConnection.run();
  }

  /**
   * Starts a timeout for an incomplete frame. Without the timeout, a frame whose rest never arrives
   * would block all attempts in flight on this connection.
   */
  private void awaitFrameEnd() {
    if (!decoder.hasIncompleteFrame()) {
      awaitsFrameEnd = false;
      return;
    }
    if (awaitsFrameEnd && completeFrames == timeoutStartedAt) {
      return;
    }
    awaitsFrameEnd = true;
    timeoutStartedAt = completeFrames;
    long framesAhead = completeFrames;
    shared.vertx.setTimer(
        MicroClock.timerMs(receivedUs, receivedUs + FRAME_TIMEOUT_US),
        timer -> {
          if (!isClosed.getAsBoolean() && awaitsFrameEnd && completeFrames == framesAhead) {
            onMalformed();
          }
        });
  }

  /**
   * Accepts the reply that is held back if nothing else is received for a while. There are two
   * timers: if the event loop was busy when the first one was due, it reads what has arrived in the
   * meantime before the second one is due.
   */
  private void awaitQuiet() {
    if (lastReply.isEmpty()) {
      return;
    }
    long reply = lastReply.number();
    afterHalfQuietTime(reply, () -> afterHalfQuietTime(reply, this::onQuiet));
  }

  private void afterHalfQuietTime(long reply, Runnable task) {
    shared.vertx.setTimer(
        HALF_QUIET_MS,
        timer -> {
          boolean current = hasUnverifiedReply() && lastReply.number() == reply;
          if (current && !decoder.hasIncompleteFrame()) {
            task.run();
          }
        });
  }

  private void onQuiet() {
    lastReply.verify();
    onNothingHeld.run();
  }

  private void handle(Frame frame) throws MalformedFrameException {
    if (FrameHeader.endsWithFrame(frame.payload())) {
      throw new MalformedFrameException("a frame contains another one, so its length is too great");
    }
    switch (frame.type()) {
      case FrameType.PART_REPLY -> onPartReply(ReplyParser.partReply(frame.payload()));
      case FrameType.FIRST_PASS_REPLY ->
          onFirstPassReply(ReplyParser.firstPassReply(frame.payload()));
      case FrameType.LIVENESS_CHECK -> unconfirmed.onCheckReply();
      case FrameType.HEALTH_CHECK -> onHealthCheckReply(frame.payload().toString());
      case FrameType.REJECTION ->
          throw new MalformedFrameException("store rejected a frame: " + frame.payload());
      default ->
          throw new MalformedFrameException("unknown type byte of a frame: " + (int) frame.type());
    }
  }

  private void onPartReply(ReplyParser.PartReply reply) throws MalformedFrameException {
    InFlightAttempt ended = endAttempt(reply.partId(), false);
    if (ended == null) {
      return;
    }
    hold(
        ended,
        new Event.AttemptCompleted(
            ended.attempt(),
            reply.outcome(),
            shared.reports.parse(reply.report()),
            reply.value(),
            reply.score()));
  }

  /** Holds back the reply to an attempt; if it is not whole, the attempt may have run. */
  private void hold(InFlightAttempt ended, Event whole) {
    lastReply.hold(
        new UnverifiedReply.Held(
            OptionalLong.of(ended.attempt()),
            whole,
            Event.AttemptCompleted.of(ended.attempt(), AttemptOutcome.RESET)));
  }

  private void onFirstPassReply(ReplyParser.FirstPassReply reply) throws MalformedFrameException {
    InFlightAttempt ended = endAttempt(reply.partId(), true);
    if (ended == null) {
      return;
    }
    float[] report = shared.reports.parse(reply.report());
    hold(
        ended,
        reply.outcome() != AttemptOutcome.OK
            ? new Event.AttemptCompleted(ended.attempt(), reply.outcome(), report, "")
            : new Event.FirstPassCompleted(
                ended.attempt(),
                receivedUs,
                report,
                reply.records(),
                reply.version(),
                reply.emptyValue()));
  }

  private InFlightAttempt endAttempt(String partId, boolean firstPass)
      throws MalformedFrameException {
    InFlightAttempt ended = inFlight.onReply(partId, firstPass);
    if (ended == null) {
      unconfirmed.onReply(partId);
    } else {
      shared.livenessCheckDelay.onReply(receivedUs - ended.sentUs());
    }
    return ended;
  }

  private void onHealthCheckReply(String report) {
    OptionalLong healthCheck = healthChecks.onReply();
    if (healthCheck.isEmpty()) {
      return;
    }
    boolean unhealthy = report.equals(UNHEALTHY);
    lastReply.hold(
        new UnverifiedReply.Held(
            OptionalLong.empty(),
            new Event.HealthCheckCompleted(
                healthCheck.getAsLong(),
                unhealthy ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                unhealthy ? NO_REPORT : shared.reports.parse(report)),
            new Event.HealthCheckCompleted(
                healthCheck.getAsLong(), AttemptOutcome.RESET, NO_REPORT)));
  }

  /** Receives the decoded frames. */
  private final class FrameHandler implements FrameDecoder.Handler {
    @Override
    public void onHeader() {
      lastReply.verify();
    }

    @Override
    public void handle(Frame frame) throws MalformedFrameException {
      completeFrames++;
      ReplyReader.this.handle(frame);
    }
  }
}

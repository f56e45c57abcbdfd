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
 * handled.
 *
 * <p>Not thread-safe; owned by its connection and used on the event loop only.
 */
final class ReplyReader {
  /** Timeout of an incomplete frame, which delays all frames behind it. */
  private static final long FRAME_TIMEOUT_US = 400_000;

  /** The payload of a health check reply from a store that considers itself unhealthy. */
  private static final String UNHEALTHY = "bad";

  private static final float[] NO_REPORT = {};

  private final FrameTransport.Shared shared;
  private final InFlightAttempts inFlight;
  private final PendingHealthChecks healthChecks;
  private final UnconfirmedAttempts unconfirmed;
  private final BooleanSupplier isClosed;
  private final Runnable closeConnection;
  private final FrameDecoder decoder = new FrameDecoder();

  /** The time at which the bytes that are being read were received, in microseconds. */
  private long receivedUs;

  /** Number of complete frames so far, which identifies the incomplete frame that follows. */
  private long completeFrames;

  private boolean awaitsFrameEnd;

  /** The value of {@link #completeFrames} when the timeout was last started. */
  private long timeoutStartedAt = -1;

  ReplyReader(
      FrameTransport.Shared shared,
      InFlightAttempts inFlight,
      PendingHealthChecks healthChecks,
      UnconfirmedAttempts unconfirmed,
      BooleanSupplier isClosed,
      Runnable closeConnection) {
    this.shared = shared;
    this.inFlight = inFlight;
    this.healthChecks = healthChecks;
    this.unconfirmed = unconfirmed;
    this.isClosed = isClosed;
    this.closeConnection = closeConnection;
  }

  /** Reads bytes that were received at {@code nowUs}, in microseconds. */
  void read(Buffer bytes, long nowUs) {
    receivedUs = nowUs;
    try {
      decoder.read(
          bytes,
          frame -> {
            completeFrames++;
            handle(frame);
          });
      awaitFrameEnd();
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

  private void handle(Frame frame) throws MalformedFrameException {
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
    shared.events.accept(
        new Event.AttemptCompleted(
            ended.attempt(),
            reply.outcome(),
            shared.reports.parse(reply.report()),
            reply.value(),
            reply.score()));
  }

  private void onFirstPassReply(ReplyParser.FirstPassReply reply) throws MalformedFrameException {
    InFlightAttempt ended = endAttempt(reply.partId(), true);
    if (ended == null) {
      return;
    }
    float[] report = shared.reports.parse(reply.report());
    shared.events.accept(
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
    shared.events.accept(
        new Event.HealthCheckCompleted(
            healthCheck.getAsLong(),
            unhealthy ? AttemptOutcome.ERROR : AttemptOutcome.OK,
            unhealthy ? NO_REPORT : shared.reports.parse(report)));
  }
}

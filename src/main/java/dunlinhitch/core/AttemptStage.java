package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.settings.Idempotency;
import java.util.Optional;
import java.util.stream.LongStream;

/**
 * Manages the life cycle of attempts. Each attempt requested by the load balancer is checked by the
 * {@link SendGuard}, batched with the other attempts of the same turn, and ended exactly once.
 * Owned by the reducer; not thread-safe.
 */
final class AttemptStage {
  private static final float[] NO_REPORT = {};

  private final TurnContext context;
  private final InFlightRegistry registry;
  private final Counters counters;
  private final TimerQueue timers;
  private final DeferredEvents deferredEvents;
  private final AttemptObserver observer;
  private final SendGuard guard;
  private final RequestBatcher batcher;
  private final AttemptLog log;
  private long lastAttemptId;

  AttemptStage(ReducerState state, AttemptObserver observer) {
    context = state.context();
    registry = state.registry();
    counters = state.counters();
    timers = state.timers();
    deferredEvents = state.deferredEvents();
    this.observer = observer;
    guard = new SendGuard(context, registry);
    batcher = new RequestBatcher(context, counters);
    log = new AttemptLog(context, counters);
  }

  /**
   * Starts an attempt requested by the load balancer. If the attempt must not be sent, the load
   * balancer is notified in a later turn that it ended as {@code MOOT}.
   */
  void send(int partNumber, int endpointNumber, long dueUs) {
    InFlightPart part = registry.parts.get(partNumber);
    if (part == null) {
      block("number " + partNumber, "no open part has this number");
      deferBlocked(partNumber, 0, endpointNumber, true);
      return;
    }
    TrackedEndpoint endpoint = registry.endpoints.get(endpointNumber);
    String reason = guard.reasonToBlock(part, endpoint);
    int ordinal = part.attemptsStarted++;
    if (reason != null) {
      block(part.id, reason);
      deferBlocked(partNumber, ordinal, endpointNumber, part.closed);
      return;
    }
    InFlightAttempt.Key key = new InFlightAttempt.Key(part.number, ordinal);
    InFlightAttempt attempt =
        new InFlightAttempt(
            ++lastAttemptId, part, key, endpoint, context.nowUs(), part.inFirstPass);
    start(attempt, dueUs);
  }

  private void start(InFlightAttempt attempt, long dueUs) {
    InFlightPart part = attempt.part();
    registry.add(attempt);
    part.attemptsInFlight++;
    attempt.endpoint().attemptsInFlight++;
    if (part.firstPassAttempts + part.attemptsStarted > 1) {
      log.onRepeated(attempt);
    }
    long earlierExecutionUs = part.earliestExecutionUs;
    if (earlierExecutionUs < 0) {
      part.earliestExecutionUs = context.nowUs();
    }
    QueryRequest query = part.query.request;
    long timeLimitUs = Math.min(dueUs, query.deadlineUs());
    timers.schedule(timeLimitUs, TimerQueue.Kind.ATTEMPT, attempt.id());
    long repeatUntilUs =
        earlierExecutionUs >= 0 && query.queryClass().idempotency() == Idempotency.GUARDED
            ? earlierExecutionUs + query.queryClass().dedupWindowUs()
            : Long.MAX_VALUE;
    batcher.add(
        attempt.endpoint().number,
        new Effect.AttemptRequest(
            attempt.id(),
            part.id,
            part.request.shard(),
            query.key(),
            timeLimitUs,
            repeatUntilUs,
            query.text(),
            part.inFirstPass,
            part.inSecondStep ? part.query.firstStep : null));
  }

  private void block(String subject, String reason) {
    counters.add(Counter.SENDS_BLOCKED);
    context.log("blocked an attempt of part " + subject + ": " + reason);
  }

  private void deferBlocked(int part, int ordinal, int endpoint, boolean closed) {
    deferredEvents.defer(
        new BalancerEvent.AttemptCompleted(
            part, ordinal, AttemptOutcome.MOOT, endpoint, 0, closed, NO_REPORT));
  }

  /**
   * Ends an attempt and returns the event that notifies the load balancer.
   *
   * @param value the value received; null if there is none
   * @param score the score received with the value; NaN if there is none
   */
  BalancerEvent.AttemptCompleted end(
      InFlightAttempt attempt, AttemptOutcome outcome, float[] report, String value, double score) {
    registry.remove(attempt);
    InFlightPart part = attempt.part();
    part.attemptsInFlight--;
    attempt.endpoint().attemptsInFlight--;
    counters.add(counterOf(outcome));
    updateEarliestExecution(attempt, outcome);
    log.onEnded(attempt, outcome);
    boolean servedInFull = outcome == AttemptOutcome.OK && !attempt.firstPass();
    if (servedInFull && !part.closed && part.value == null) {
      part.value = value;
      part.score = score;
    }
    observer.onAttemptEnded(attempt, outcome, report, value);
    return new BalancerEvent.AttemptCompleted(
        attempt.key().part(),
        attempt.key().ordinal(),
        outcome,
        attempt.endpoint().number,
        context.nowUs() - attempt.sentUs(),
        part.closed || outcome == AttemptOutcome.OK,
        report,
        registry.unconfirmedAttempts.containsKey(attempt.id()));
  }

  /** Ends an attempt that returned neither a load report nor a value. */
  BalancerEvent.AttemptCompleted end(InFlightAttempt attempt, AttemptOutcome outcome) {
    return end(attempt, outcome, NO_REPORT, null, Double.NaN);
  }

  /**
   * Ends an attempt that this broker abandons although its endpoint may still execute it. The
   * endpoint may not have read the cancellation yet, or may not have detected yet that the
   * connection was closed. If a part may have only one attempt at a time, the part's next attempt
   * is not sent until {@link #release} is called for the abandoned attempt.
   */
  BalancerEvent.AttemptCompleted endUnconfirmed(InFlightAttempt attempt, AttemptOutcome outcome) {
    if (!attempt.part().closed) {
      registry.addUnconfirmed(attempt);
      counters.add(Counter.ATTEMPTS_UNCONFIRMED);
    }
    return end(attempt, outcome);
  }

  /** Handles the confirmation that the endpoint will no longer execute the attempt. */
  Optional<BalancerEvent.AttemptReleased> release(long attemptId) {
    InFlightAttempt attempt = registry.removeUnconfirmed(attemptId);
    if (attempt == null) {
      return Optional.empty();
    }
    counters.add(Counter.ATTEMPTS_RELEASED);
    log.onReleased(attempt);
    return Optional.of(new BalancerEvent.AttemptReleased(attempt.part().number));
  }

  private static Counter counterOf(AttemptOutcome outcome) {
    return switch (outcome) {
      case OK -> Counter.ATTEMPTS_SERVED;
      case ERROR -> Counter.ATTEMPTS_FAILED;
      case FULL -> Counter.ATTEMPTS_REJECTED;
      case TIMEOUT -> Counter.ATTEMPTS_TIMED_OUT;
      case CONNECT_FAILED -> Counter.ATTEMPTS_NOT_CONNECTED;
      case RESET -> Counter.ATTEMPTS_RESET;
      case CANCELLED -> Counter.ATTEMPTS_CANCELLED;
      case MOOT -> Counter.SENDS_BLOCKED;
    };
  }

  /**
   * Updates {@link InFlightPart#earliestExecutionUs} after an attempt of the part has ended. If
   * that attempt was certainly not executed, the field becomes the send time of the earliest
   * remaining attempt (in flight or ended) that may have been executed.
   */
  private void updateEarliestExecution(InFlightAttempt attempt, AttemptOutcome outcome) {
    InFlightPart part = attempt.part();
    if (!outcome.neverExecuted()) {
      part.earliestEndedExecutionUs =
          part.earliestEndedExecutionUs < 0
              ? attempt.sentUs()
              : Math.min(part.earliestEndedExecutionUs, attempt.sentUs());
      return;
    }
    if (part.earliestExecutionUs == attempt.sentUs()) {
      part.earliestExecutionUs =
          LongStream.concat(
                  LongStream.of(part.earliestEndedExecutionUs).filter(sentUs -> sentUs >= 0),
                  registry.attemptsOf(part).stream().mapToLong(InFlightAttempt::sentUs))
              .min()
              .orElse(InFlightPart.NEVER);
    }
  }

  /**
   * Ends an attempt whose time limit has expired. Has no effect if the attempt has already ended.
   */
  void onTimeLimit(long attemptId) {
    InFlightAttempt attempt = registry.attempts.get(attemptId);
    if (attempt != null) {
      deferredEvents.defer(abandon(attempt, AttemptOutcome.TIMEOUT));
    }
  }

  /**
   * Cancels an attempt at the request of the load balancer. Has no effect if the attempt has
   * already ended.
   */
  void cancel(int part, int ordinal) {
    InFlightAttempt attempt = registry.attempt(part, ordinal);
    if (attempt != null) {
      deferredEvents.defer(abandon(attempt, AttemptOutcome.CANCELLED));
    }
  }

  /** Stops waiting for an attempt. An attempt that is still queued in this turn is not sent. */
  BalancerEvent.AttemptCompleted abandon(InFlightAttempt attempt, AttemptOutcome outcome) {
    if (batcher.remove(attempt)) {
      return end(attempt, outcome);
    }
    boolean mayBeRepeated = !attempt.part().closed;
    boolean confirm = mayBeRepeated && !context.settings().limits().parallelAttempts();
    context.emit(new Effect.CancelAttempt(attempt.endpoint().number, attempt.id(), confirm));
    return endUnconfirmed(attempt, outcome);
  }

  /** Withdraws the attempts that are queued for the endpoint in this turn. */
  void withdrawUnsent(int endpoint) {
    for (Effect.AttemptRequest request : batcher.removeAll(endpoint)) {
      InFlightAttempt attempt = registry.attempts.get(request.attempt());
      deferredEvents.defer(end(attempt, AttemptOutcome.MOOT));
    }
  }

  /**
   * Withdraws the remaining attempts of closed parts. An attempt that has not been written to a
   * connection yet is never sent. An attempt that has already been written continues if the
   * settings do not allow cancellation.
   */
  private void withdrawClosed() {
    for (InFlightPart part : registry.closedParts) {
      registry.forgetUnconfirmed(part);
      for (InFlightAttempt attempt : registry.attemptsOf(part)) {
        if (batcher.remove(attempt)) {
          deferredEvents.defer(end(attempt, AttemptOutcome.MOOT));
        } else {
          context.emit(new Effect.WithdrawAttempt(attempt.endpoint().number, attempt.id()));
        }
      }
    }
    registry.closedParts.clear();
  }

  /**
   * Sends the attempts of the turn.
   *
   * @param twoPhases whether the attempts may include first passes
   */
  void flush(boolean twoPhases) {
    withdrawClosed();
    // an endpoint may have changed within this turn, after the load balancer selected it
    for (int number : batcher.endpoints()) {
      TrackedEndpoint endpoint = registry.endpoints.get(number);
      if (endpoint == null || guard.rejectsNewAttempts(endpoint)) {
        withdrawUnsent(number);
      }
    }
    batcher.flush(twoPhases);
  }
}

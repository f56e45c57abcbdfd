package dunlinhitch.balancer;

import java.util.Optional;

/**
 * Decides how to handle a part whose attempt is late: request a spare part instead, send a hedged
 * attempt, or move the part to another server.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class Hedging {
  /**
   * Number of maintenance intervals until a late part is examined again; limits the cost under
   * overload, when many parts are late.
   */
  private static final long RECHECK_SWEEPS = 4;

  /**
   * A hedged attempt is sent only to a server whose outstanding work is at most this multiple of
   * the mean service time.
   */
  private static final double MAX_WORK_AT_TARGET = 2;

  /** Latency quantile after which an attempt is late. */
  private static final double LATE_QUANTILE = 0.9;

  /** Like {@link #LATE_QUANTILE}, for a part with little time left. */
  private static final double URGENT_LATE_QUANTILE = 0.5;

  /** A part has little time left if that time is less than this multiple of the median latency. */
  private static final double URGENT_MEDIANS = 1.5;

  private final BalancerContext context;
  private final Estimators estimators;
  private final ReplicaSelection selection;
  private final AttemptSender attempts;

  Hedging(
      BalancerContext context,
      Estimators estimators,
      ReplicaSelection selection,
      AttemptSender attempts) {
    this.context = context;
    this.estimators = estimators;
    this.selection = selection;
    this.attempts = attempts;
  }

  /**
   * Sends a part whose request is pending, if this is possible now. If the part's only attempt in
   * flight is late, requests a spare part or, if there is none, hedges or moves the late attempt.
   */
  void examine(Part part) {
    if (part.requested) {
      attempts.request(part);
    }
    if (part.settled || part.inFlight.size() != 1 || context.nowUs() < part.nextHedgeUs) {
      return;
    }
    Attempt attempt = part.inFlight.get(0);
    if (attempt.cancelled || context.nowUs() - attempt.sentUs < lateAfterUs(part)) {
      return;
    }
    part.nextHedgeUs = context.nowUs() + RECHECK_SWEEPS * context.sweepIntervalUs();
    if (!sendSpare(part.query)) {
      hedge(attempt);
    }
  }

  private void hedge(Attempt attempt) {
    Part part = attempt.part;
    double leftUs = estimators.deadlines.planUs(part.query) - context.nowUs();
    Server target = selection.select(part);
    if (target == null || !isWorthwhile(attempt, target, leftUs)) {
      return;
    }
    if (attempts.mayHedge(part)) {
      attempts.send(part);
    } else if (shouldMove(attempt, leftUs)) {
      // The retry is sent when the cancelled attempt has ended.
      attempts.cancel(attempt);
    }
  }

  /**
   * Whether a hedged attempt is predicted to finish in time at a server that has no worse score
   * than the server of the late attempt. The server must have little outstanding work, so that the
   * hedged attempt does not delay other parts queued there.
   */
  private boolean isWorthwhile(Attempt attempt, Server target, double leftUs) {
    Part part = attempt.part;
    double maxWorkUs = MAX_WORK_AT_TARGET * estimators.serviceTimes.meanUs();
    return selection.score(target, part) <= selection.score(attempt.server, part)
        && estimators.latencies.latencyUs(target, part) <= leftUs
        && estimators.outstandingWork.atUs(target) <= maxWorkUs;
  }

  private boolean shouldMove(Attempt attempt, double leftUs) {
    return estimators.latencies.isUnresponsive(attempt)
        && context.nowUs() - attempt.sentUs > leftUs
        && attempts.mayRetry(attempt.part)
        && attempts.isWithinHedgeBudget()
        && !context.settings().limits().parallelAttempts()
        && context.settings().limits().mayCancel();
  }

  /**
   * The latency from which an attempt counts as late: a high quantile of its class, or the median
   * near the deadline.
   */
  private double lateAfterUs(Part part) {
    SampleWindow latencies = part.query.statistics.latencies;
    long leftUs = estimators.deadlines.planUs(part.query) - context.nowUs();
    boolean urgent = leftUs < URGENT_MEDIANS * latencies.quantile(URGENT_LATE_QUANTILE);
    return latencies.quantile(urgent ? URGENT_LATE_QUANTILE : LATE_QUANTILE);
  }

  /**
   * Requests a spare part, which is a part of the current step that was left out, if there is one.
   * This does not use the retry budget.
   */
  private boolean sendSpare(Query query) {
    if (query.deferredUntilUs > 0) {
      return false;
    }
    Optional<Part> spare =
        query.parts.stream().filter(part -> isSpare(part, query.step)).findFirst();
    spare.ifPresent(attempts::request);
    return spare.isPresent();
  }

  private static boolean isSpare(Part part, int step) {
    return part.attemptCount == 0 && !part.requested && !part.settled && part.step == step;
  }
}

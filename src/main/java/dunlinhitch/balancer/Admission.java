package dunlinhitch.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission control: admits a query only if enough of its parts are predicted to be answered in
 * time at the least loaded replicas. If the class allows partial answers, the parts that would be
 * late are left out.
 *
 * <p>Guards against congestion collapse, in which queries consume work, miss their objective and
 * are retried. Queries with a low priority weight per work are rejected first. Load reports that
 * overstate the load cause too many rejections.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class Admission {
  /**
   * Lower limit of the weight by which the wait of a part is divided; avoids a division by zero.
   */
  private static final double MIN_WEIGHT = 1e-9;

  /**
   * A part and the wait predicted for it.
   *
   * @param waitShare the predicted wait divided by the difference between the query's remaining
   *     time and the part's work
   */
  private record PlannedPart(Part part, double waitShare) {
    double waitPerWeight() {
      return waitShare / Math.max(MIN_WEIGHT, part.weight);
    }
  }

  private final BalancerContext context;
  private final Estimators estimators;
  private final ReplicaSelection selection;
  private final AttemptSender attempts;
  private final QueryCompletion completion;
  private final CanaryPart canary;
  private final WaitTolerance waitTolerance;

  Admission(
      BalancerContext context,
      Estimators estimators,
      ReplicaSelection selection,
      AttemptSender attempts,
      QueryCompletion completion,
      CanaryPart canary) {
    this.context = context;
    this.estimators = estimators;
    this.selection = selection;
    this.attempts = attempts;
    this.completion = completion;
    this.canary = canary;
    waitTolerance = new WaitTolerance(context, estimators.serviceTimes);
  }

  void applySettings() {
    waitTolerance.applySettings();
  }

  /** Sends the parts of a query, or rejects it. */
  void admit(Query query) {
    double tolerance = waitTolerance.of(query);
    if (isTooLateForLag(query)) {
      completion.giveUp(query, GiveUpReason.EVENT_LOOP_LATE);
      return;
    }
    List<PlannedPart> plan = plan(query);
    plan.sort(Comparator.comparingDouble(PlannedPart::waitPerWeight));
    double weightInTime =
        plan.stream()
            .filter(planned -> planned.waitShare() <= tolerance)
            .mapToDouble(planned -> planned.part().weight)
            .sum();
    if (weightInTime < query.queryClass.floor() - QueryCompletion.WEIGHT_TOLERANCE) {
      completion.giveUp(query, GiveUpReason.OVERLOAD);
      return;
    }
    if (canary.isWorthwhile(query)) {
      Comparator<PlannedPart> byWait = Comparator.comparingDouble(PlannedPart::waitShare);
      canary.send(query, plan.stream().min(byWait).orElseThrow().part());
      return;
    }
    requestParts(query, plan, tolerance);
  }

  /** Resumes a query that was deferred for health checks or a canary part. */
  void resume(Query query) {
    query.awaitedHealthChecks.clear();
    query.deferredUntilUs = 0;
    List<Part> unsent =
        query.parts.stream().filter(part -> part.attemptCount == 0 && !part.settled).toList();
    boolean canaryLost =
        !query.anyPartAnswered
            && !query.resetsUs.isEmpty()
            && unsent.size() == query.expectedParts - 1;
    if (canaryLost) {
      canary.send(query, unsent.get(0));
    } else {
      admit(query);
    }
  }

  private boolean isTooLateForLag(Query query) {
    double lagUs = estimators.lag.lagUs();
    double workUs = estimators.serviceTimes.typicalUs(query.statistics);
    return lagUs > 0 && context.nowUs() + lagUs + workUs >= estimators.deadlines.targetUs(query);
  }

  /**
   * Predicts the wait of each part, assuming that the preceding parts of the plan have been sent.
   */
  private List<PlannedPart> plan(Query query) {
    double leftUs = estimators.deadlines.planUs(query) - context.nowUs() - estimators.lag.lagUs();
    List<PlannedPart> plan = new ArrayList<>();
    Map<Server, Double> outstandingBefore = new LinkedHashMap<>();
    for (Part part : query.parts) {
      Server server = part.attemptCount > 0 ? null : selection.select(part);
      if (server == null) {
        // No wait is predicted for a part that has already been sent or has no eligible server yet.
        plan.add(new PlannedPart(part, 0.0));
        continue;
      }
      LatencyEstimates latencies = estimators.latencies;
      double waitUs = latencies.waitUs(server) + latencies.networkLatencyUs(server);
      double workUs = estimators.serviceTimes.ofPartUs(part);
      plan.add(new PlannedPart(part, waitUs / Math.max(1, leftUs - workUs)));
      outstandingBefore.putIfAbsent(server, server.outstandingUs);
      server.outstandingUs += workUs;
    }
    outstandingBefore.forEach((server, workUs) -> server.outstandingUs = workUs);
    return plan;
  }

  /**
   * Requests parts in the order of the plan until the class's need is met. The remaining parts are
   * kept as spares.
   */
  private void requestParts(Query query, List<PlannedPart> plan, double tolerance) {
    double floor = query.queryClass.floor();
    double need = query.queryClass.need();
    double requestedWeight = 0;
    for (PlannedPart planned : plan) {
      Part part = planned.part();
      part.settled = floor < need && planned.waitShare() > tolerance;
      boolean needed = need >= 1 || requestedWeight < need - QueryCompletion.WEIGHT_TOLERANCE;
      if (!part.settled && needed) {
        attempts.request(part);
        requestedWeight += part.weight;
      }
    }
  }
}

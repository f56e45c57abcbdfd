package dunlinhitch.balancer;

/**
 * Examines a query in flight when a timer fires: gives it up, resumes it or hedges its late parts.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class QueryMaintenance {
  private final BalancerContext context;
  private final QueryDeadlines deadlines;
  private final Admission admission;
  private final Hedging hedging;
  private final QueryCompletion completion;

  QueryMaintenance(
      BalancerContext context,
      QueryDeadlines deadlines,
      Admission admission,
      Hedging hedging,
      QueryCompletion completion) {
    this.context = context;
    this.deadlines = deadlines;
    this.admission = admission;
    this.hedging = hedging;
    this.completion = completion;
  }

  void examine(Query query) {
    long nowUs = context.nowUs();
    if (nowUs >= deadlines.giveUpUs(query) || completion.isPartialBest(query)) {
      completion.giveUp(query, GiveUpReason.TIME_OVER);
      return;
    }
    if (query.deferredUntilUs > 0 && nowUs >= query.deferredUntilUs) {
      admission.resume(query);
    }
    boolean arriving = query.step == 1 && query.parts.size() < query.expectedParts;
    if (query.ended || arriving || !query.awaitedHealthChecks.isEmpty()) {
      return;
    }
    for (Part part : query.parts) {
      hedging.examine(part);
    }
    if (completion.isUnattainable(query)) {
      completion.giveUp(query, GiveUpReason.UNATTAINABLE);
    } else if (completion.isUnsent(query)) {
      completion.giveUp(query, GiveUpReason.UNSENT);
    }
  }
}

package dunlinhitch.balancer;

/**
 * Limits the health checks sent ahead of admission: few while queries are answered completely, up
 * to all replicas of each part if none is, and fewer if a health check is expensive.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class HealthCheckBudget {
  /** Health checks earned by each part sent while all queries are answered completely. */
  private static final double CHECKS_PER_PART = 0.2;

  /** Price of a health check above which proportionally fewer are sent. */
  private static final double REFERENCE_PRICE = 0.012;

  /** Weight of the newest query in the rate of queries without a complete answer. */
  private static final double INCOMPLETE_WEIGHT = 0.02;

  private final BalancerContext context;
  private double incompleteRate;
  private double credit;

  HealthCheckBudget(BalancerContext context) {
    this.context = context;
  }

  /** Counts the answer or rejection of an admitted query. */
  void onQueryCompleted(boolean complete) {
    incompleteRate += INCOMPLETE_WEIGHT * ((complete ? 0 : 1) - incompleteRate);
  }

  void onPartSent() {
    double earned =
        Math.min(1, REFERENCE_PRICE / context.settings().prices().healthCheck())
            * (CHECKS_PER_PART + incompleteRate * context.settings().layout().replicationFactor());
    credit = Math.min(credit + earned, context.servers().size());
  }

  /** Whole health checks that may be sent now. */
  long available() {
    return (long) credit;
  }

  void spend(int checks) {
    credit -= checks;
  }
}

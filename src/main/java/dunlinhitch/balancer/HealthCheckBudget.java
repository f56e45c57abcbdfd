package dunlinhitch.balancer;

/**
 * Limits the number of health checks that are sent before queries are admitted. Each part that is
 * sent adds to the budget. It adds {@link #CHECKS_PER_PART} health checks while all queries are
 * answered completely. As the share of queries without a complete answer rises from 0 to 1, it adds
 * up to one more health check for each replica of the part. It adds less if a health check is
 * expensive.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class HealthCheckBudget {
  /**
   * Number of health checks that each sent part adds to the budget while all queries are answered
   * completely.
   */
  private static final double CHECKS_PER_PART = 0.2;

  /** If a health check costs more than this price, proportionally fewer health checks are sent. */
  private static final double REFERENCE_PRICE = 0.012;

  /**
   * Weight of the newest query in the moving average of the share of queries without a complete
   * answer.
   */
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

  /** Returns the number of health checks that may be sent now. */
  long available() {
    return (long) credit;
  }

  void spend(int checks) {
    credit -= checks;
  }
}

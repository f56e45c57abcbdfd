package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Tenant;
import java.util.List;

/**
 * The fraction of its time that a query may wait for servers: higher for a higher priority weight
 * per work, lower for a tenant that exceeds its share.
 *
 * <p>Not thread-safe; {@link Admission} owns it.
 */
final class WaitTolerance {
  /**
   * Fraction of its time that an average query may wait, before scaling by 1 + 1 / brokers. The
   * fewer brokers there are, the larger is this broker's own fraction of the load and the longer a
   * query may wait.
   */
  private static final double BASE_SHARE = 0.5;

  /** Largest factor by which the priority weight per work raises or lowers {@link #BASE_SHARE}. */
  private static final double MAX_FACTOR = 1.4;

  /**
   * Factor by which the priority weight per work is multiplied for a query that its client retries.
   * It is below 1 because part of the query's time has already passed.
   */
  private static final double RETRIED_FACTOR = 0.6;

  /** Weight of the newest query in the mean priority weight per work. */
  private static final double MEAN_WEIGHT = 0.05;

  /**
   * Time constant by which the query counts of tenants decay, as a multiple of the shortest latency
   * objective.
   */
  private static final double TENANT_DECAY_OBJECTIVES = 3.0;

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;
  private double meanPriorityPerWork;
  private List<Tenant> tenants;
  private DecayingShares tenantShares;

  WaitTolerance(BalancerContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    tenants = context.settings().tenants();
    tenantShares = new DecayingShares(tenants.size());
  }

  /** Applies the tenants of the current settings; if they changed, counting starts again. */
  void applySettings() {
    List<Tenant> newTenants = context.settings().tenants();
    if (!tenants.equals(newTenants)) {
      tenantShares = new DecayingShares(newTenants.size());
    }
    tenants = newTenants;
  }

  /**
   * Returns the tolerance of a query; computed once, when admission of the query is first
   * attempted.
   */
  double of(Query query) {
    if (query.waitTolerance == 0) {
      query.waitTolerance = compute(query);
    }
    return query.waitTolerance;
  }

  private double compute(Query query) {
    double priorityPerWork =
        query.queryClass.priorityWeight()
            / Math.max(1, query.expectedParts * serviceTimes.typicalUs(query.statistics))
            * (query.retriedByClient ? RETRIED_FACTOR : 1)
            / Math.max(1, excessOverShare(query.tenant));
    meanPriorityPerWork =
        meanPriorityPerWork == 0
            ? priorityPerWork
            : meanPriorityPerWork + MEAN_WEIGHT * (priorityPerWork - meanPriorityPerWork);
    double relative = priorityPerWork / meanPriorityPerWork;
    return BASE_SHARE
        * (1 + 1.0 / context.settings().brokers())
        * Math.max(1 / MAX_FACTOR, Math.min(MAX_FACTOR, relative));
  }

  /**
   * Counts the query and returns the ratio of the tenant's fraction of recent queries to its share;
   * 1 if the tenant has no share.
   */
  private double excessOverShare(int tenant) {
    double share = tenant >= 0 && tenant < tenants.size() ? tenants.get(tenant).share() : 0;
    if (share <= 0) {
      return 1;
    }
    double timeConstantUs = TENANT_DECAY_OBJECTIVES * context.shortestObjectiveUs();
    return tenantShares.increment(tenant, context.nowUs(), timeConstantUs) / share;
  }
}

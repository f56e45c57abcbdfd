package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Tenant;
import java.util.List;

/**
 * The share of its time that a query may wait for servers: more for a higher priority weight per
 * work, less for a tenant beyond its share.
 *
 * <p>Not thread-safe; {@link Admission} owns it.
 */
final class WaitTolerance {
  /**
   * Share of its time that an average query may wait; up to twice that, the more of the load is
   * this broker's own.
   */
  private static final double BASE_SHARE = 0.5;

  /** How far the priority weight per work moves that share. */
  private static final double MAX_FACTOR = 1.4;

  /** Value of a query that its client asks again: part of its time is spent. */
  private static final double RETRIED_FACTOR = 0.6;

  /** Weight of the newest query in the mean priority weight per work. */
  private static final double MEAN_WEIGHT = 0.05;

  /** Shortest latency objectives after which counts of a tenant's queries decay e-fold. */
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

  /** Takes the tenants of the settings in force; where they changed, counting begins anew. */
  void applySettings() {
    List<Tenant> newTenants = context.settings().tenants();
    if (!tenants.equals(newTenants)) {
      tenantShares = new DecayingShares(newTenants.size());
    }
    tenants = newTenants;
  }

  /** The share for a query; computed once, at its first admission. */
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

  /** A tenant's part of recent queries over its share; 1: just its share. Counts the query. */
  private double excessOverShare(int tenant) {
    double share = tenant >= 0 && tenant < tenants.size() ? tenants.get(tenant).share() : 0;
    if (share <= 0) {
      return 1;
    }
    double timeConstantUs = TENANT_DECAY_OBJECTIVES * context.shortestObjectiveUs();
    return tenantShares.increment(tenant, context.nowUs(), timeConstantUs) / share;
  }
}

package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.HealthCheckCompleted;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Sends health checks before a query is admitted. Checks the replicas to which the query's parts
 * may be sent, those with the oldest reports first, and defers the query until they answer or a
 * short delay has passed.
 *
 * <p>Guards against stale estimates if a broker sends few parts to each server: slow, hung, dead or
 * remote servers are detected by their report or by a missing answer.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class HealthChecks {
  /**
   * A query waits for its health checks for at most the shortest latency objective divided by this
   * number.
   */
  private static final long DELAYS_PER_OBJECTIVE = 32;

  /**
   * Health checks are sent if no server has reported within the shortest latency objective divided
   * by this number.
   */
  private static final long STALE_FRACTION = 2;

  /**
   * A server that reported within the shortest latency objective divided by this number is not
   * checked.
   */
  private static final long FRESH_FRACTION = 8;

  private final BalancerContext context;
  private final Estimators estimators;
  private final QueryRegistry queries;
  private final HealthCheckBudget budget;
  private final Admission admission;

  HealthChecks(
      BalancerContext context,
      Estimators estimators,
      QueryRegistry queries,
      HealthCheckBudget budget,
      Admission admission) {
    this.context = context;
    this.estimators = estimators;
    this.queries = queries;
    this.budget = budget;
    this.admission = admission;
  }

  /**
   * Sends health checks for the query and defers it; returns false if none are needed or allowed.
   */
  boolean defer(Query query) {
    long objectiveUs = context.shortestObjectiveUs();
    long sinceReportUs = context.nowUs() - estimators.loadReports.lastReportUs();
    if (!context.settings().limits().mayHealthCheck()
        || sinceReportUs < objectiveUs / STALE_FRACTION) {
      return false;
    }
    candidates(query).stream()
        .sorted(Comparator.comparingLong(server -> server.reportedUs))
        .limit(budget.available())
        .forEach(query.awaitedHealthChecks::add);
    if (query.awaitedHealthChecks.isEmpty()) {
      return false;
    }
    budget.spend(query.awaitedHealthChecks.size());
    for (Server server : query.awaitedHealthChecks) {
      server.healthCheckInFlight = true;
      context.actions().sendHealthCheck(server.id);
    }
    query.deferredUntilUs = context.nowUs() + objectiveUs / DELAYS_PER_OBJECTIVE;
    BalancerTimers.scheduleQuery(context, query, query.deferredUntilUs);
    return true;
  }

  private Set<Server> candidates(Query query) {
    Set<Server> candidates = new LinkedHashSet<>();
    for (Part part : query.parts) {
      candidates.addAll(context.servers().replicasOf(part.shard, context.settings().layout()));
    }
    candidates.removeIf(server -> !isCandidate(server));
    return candidates;
  }

  private boolean isCandidate(Server server) {
    long reportAgeUs = context.nowUs() - server.reportedUs;
    return server.state == ServerState.READY
        && !server.healthCheckInFlight
        && !context.servers().isDisabled(server.id)
        && reportAgeUs >= context.shortestObjectiveUs() / FRESH_FRACTION;
  }

  /** Processes a result; a query that has no other health check to wait for is resumed. */
  void onCompleted(HealthCheckCompleted event) {
    Server server = context.servers().get(event.server());
    if (server == null) {
      return;
    }
    server.healthCheckInFlight = false;
    AttemptOutcome outcome = event.outcome();
    if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.RESET) {
      estimators.penalties.onFailure(server);
    } else {
      estimators.loadReports.onReport(server, event.report());
    }
    for (Query query : queries.snapshot()) {
      if (query.awaitedHealthChecks.remove(server) && query.awaitedHealthChecks.isEmpty()) {
        admission.resume(query);
      }
    }
  }
}

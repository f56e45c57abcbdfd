package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.QueryArrived;
import dunlinhitch.balancer.settings.QueryClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One query in flight. Times are points on the balancer's clock in microseconds.
 *
 * <p>Not thread-safe; {@link QueryRegistry} owns it.
 */
final class Query {
  final int id;
  final long number;
  final ClassStatistics statistics;

  /** The class as it was when the query arrived. */
  final QueryClass queryClass;

  /** Limit of attempts for each part, as configured when the query arrived. */
  final int maxAttempts;

  final int tenant;

  /** Whether the client has sent this query before. */
  final boolean retriedByClient;

  final long arrivedUs;

  /** Time at which the client stops waiting. */
  final long deadlineUs;

  /** Time at which the latency objective expires. */
  long objectiveUs;

  final List<Part> parts = new ArrayList<>();

  /** Number of parts of the current step. */
  int expectedParts;

  int step = 1;
  boolean firstStepComplete;

  /** Weight of the answered parts of the current step. */
  double answeredWeight;

  /** Servers whose health checks the query waits for before its admission. */
  final Set<Server> awaitedHealthChecks = new LinkedHashSet<>();

  /**
   * Time until which the parts wait for health checks or the canary part; 0 if they do not wait.
   */
  long deferredUntilUs;

  boolean canarySent;

  /** Whether any part has been answered. An answer shows that the query does not crash servers. */
  boolean anyPartAnswered;

  /** Servers that reset an attempt of this query, each with the time of the reset. */
  final Map<Server, Long> resetsUs = new LinkedHashMap<>();

  /** Fraction of its time that the query may wait for servers; 0 until it is computed. */
  double waitTolerance;

  boolean ended;

  Query(QueryArrived event, ClassStatistics statistics, int maxAttempts, long arrivedUs) {
    id = event.id();
    number = event.number();
    tenant = event.tenant();
    retriedByClient = event.retriedByClient();
    deadlineUs = event.deadlineUs();
    expectedParts = Math.max(1, event.parts());
    this.arrivedUs = arrivedUs;
    this.statistics = statistics;
    this.maxAttempts = maxAttempts;
    queryClass = statistics.queryClass();
  }
}

package dunlinhitch.balancer;

/**
 * The timer tokens of the load balancer.
 *
 * <p>Stateless.
 */
final class BalancerTimers {
  /** Periodic maintenance. */
  static final long SWEEP = 1;

  /** Poll of the server list. */
  static final long POLL_SERVER_LIST = 2;

  /**
   * The lowest token that refers to a query; lower tokens are those of the load balancer's own
   * timers.
   */
  private static final long FIRST_QUERY_TOKEN = 4;

  private BalancerTimers() {}

  /**
   * Schedules a timer for one query. Only that query is examined when the timer fires, because
   * examining all queries at each of many timers would be too expensive under load.
   */
  static void scheduleQuery(BalancerContext context, Query query, long dueUs) {
    context.actions().scheduleTimer(FIRST_QUERY_TOKEN * (1 + (long) query.id), dueUs);
  }

  static boolean isQueryToken(long token) {
    return token >= FIRST_QUERY_TOKEN;
  }

  /** The id of the query that a query token refers to. */
  static int queryId(long token) {
    return (int) (token / FIRST_QUERY_TOKEN - 1);
  }
}

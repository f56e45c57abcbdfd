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

  /** The first token of a query; lower tokens belong to the load balancer itself. */
  private static final long FIRST_QUERY_TOKEN = 4;

  private BalancerTimers() {}

  /**
   * Schedules a timer that examines only one query, since under load there are many queries and
   * timers.
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

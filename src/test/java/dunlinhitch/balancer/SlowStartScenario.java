package dunlinhitch.balancer;

/** Scenarios of starting servers. In each of them, brokers are notified within half a second. */
enum SlowStartScenario {
  /** One server starts among servers that are busy. */
  ONE_STARTS(true),
  /** Half of all servers start simultaneously, including all servers of one cell. */
  HALF_START(false),
  /**
   * One server starts. Later the other servers of its cell start draining, and all brokers are
   * notified of this at almost the same time.
   */
  LEFT_ALONE(true),
  /** One server starts. Later the query rate of all brokers quadruples at the same time. */
  SURGE(true),
  /**
   * One server starts and soon becomes unready. It becomes ready again after the other servers of
   * its cell have started draining and parts are waiting.
   */
  FLAPPING(true),
  /**
   * Half of the servers start; during their slow start, seven in ten brokers are killed and
   * restarted.
   */
  BROKERS_KILLED(false),
  /** Half of the servers start; every half second a tenth of the brokers is restarted. */
  ROLLING_RESTART(false);

  /** True if one server starts, false if half of all servers start. */
  final boolean oneServerStarts;

  SlowStartScenario(boolean oneServerStarts) {
    this.oneServerStarts = oneServerStarts;
  }
}

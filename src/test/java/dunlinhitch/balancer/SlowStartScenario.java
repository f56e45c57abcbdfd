package dunlinhitch.balancer;

/** What happens when servers start; in each, brokers are notified within half a second. */
enum SlowStartScenario {
  /** One server starts among others that are busy. */
  ONE_STARTS(true),
  /** Half of all servers start at once, among them all of one cell. */
  HALF_START(false),
  /** One starts and is not needed until the others of its cell leave for all brokers at once. */
  LEFT_ALONE(true),
  /** One starts and is not needed until four times as many queries come to all brokers at once. */
  SURGE(true),
  /**
   * One starts and is soon no longer ready; when the others of its cell have left and parts wait,
   * it is ready again.
   */
  FLAPPING(true),
  /** Half of the servers start, and seven in ten brokers are killed and restarted meanwhile. */
  BROKERS_KILLED(false),
  /** Half of the servers start, and every half second a tenth of the brokers is restarted. */
  ROLLING_RESTART(false);

  /** One server starts; else half of all do. */
  final boolean oneServerStarts;

  SlowStartScenario(boolean oneServerStarts) {
    this.oneServerStarts = oneServerStarts;
  }
}

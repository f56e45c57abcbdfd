package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import java.util.SplittableRandom;

/**
 * What all decisions share: the time of the event at hand, the settings in force with the intervals
 * derived from them, the server table, the seeded random source and the actions.
 *
 * <p>Not thread-safe; the load balancer owns it and alone sets time and settings.
 */
final class BalancerContext {
  /** Periodic maintenance runs so many times within the shortest latency objective. */
  private static final int SWEEPS_PER_OBJECTIVE = 64;

  /** Shortest maintenance interval: each run visits all queries in flight. */
  private static final long MIN_SWEEP_INTERVAL_US = 10_000;

  /** Least time reserved for writing an answer out. */
  private static final long MIN_ANSWER_MARGIN_US = 10_000;

  private final BalancerActions actions;
  private final SplittableRandom random;
  private final ServerTable servers = new ServerTable();
  private Settings settings;
  private long nowUs;
  private long sweepIntervalUs;
  private long answerMarginUs;
  private long shortestObjectiveUs;

  BalancerContext(Settings settings, long seed, BalancerActions actions) {
    this.actions = actions;
    random = new SplittableRandom(seed);
    applySettings(settings);
  }

  void applySettings(Settings newSettings) {
    settings = newSettings;
    shortestObjectiveUs =
        settings.classes().stream().mapToLong(QueryClass::latencyObjectiveUs).min().orElseThrow();
    sweepIntervalUs =
        Math.max(
            Math.max(settings.tickUs(), MIN_SWEEP_INTERVAL_US),
            shortestObjectiveUs / SWEEPS_PER_OBJECTIVE);
    answerMarginUs = Math.max(MIN_ANSWER_MARGIN_US, 2 * settings.tickUs());
  }

  /** Moves the clock on; it never goes back. */
  void advanceTo(long timeUs) {
    nowUs = Math.max(nowUs, timeUs);
  }

  BalancerActions actions() {
    return actions;
  }

  SplittableRandom random() {
    return random;
  }

  ServerTable servers() {
    return servers;
  }

  Settings settings() {
    return settings;
  }

  /** Time of the event at hand. */
  long nowUs() {
    return nowUs;
  }

  /** Time between two runs of the periodic maintenance. */
  long sweepIntervalUs() {
    return sweepIntervalUs;
  }

  /** Time reserved before a deadline for writing an answer out. */
  long answerMarginUs() {
    return answerMarginUs;
  }

  /** The shortest latency objective of all classes: the unit in which estimates age. */
  long shortestObjectiveUs() {
    return shortestObjectiveUs;
  }

  /** What exponential decay leaves of 1 since a time, with that time constant. */
  double decaySince(long sinceUs, double timeConstantUs) {
    return Math.exp((sinceUs - nowUs) / timeConstantUs);
  }
}

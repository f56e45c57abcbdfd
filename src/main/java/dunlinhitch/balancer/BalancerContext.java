package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import java.util.SplittableRandom;

/**
 * State shared by all decisions: the time of the current event, the current settings with the
 * intervals derived from them, the server table, the seeded random source and the actions.
 *
 * <p>Not thread-safe; the load balancer owns it, and no other class sets the time or the settings.
 */
final class BalancerContext {
  /** Number of periodic maintenance runs within the shortest latency objective. */
  private static final int SWEEPS_PER_OBJECTIVE = 64;

  /**
   * Shortest maintenance interval; limits the cost, since each run visits all queries in flight.
   */
  private static final long MIN_SWEEP_INTERVAL_US = 10_000;

  /** Minimum time reserved for writing an answer. */
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

  /** Advances the clock; an earlier time leaves it unchanged. */
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

  /** Time of the current event. */
  long nowUs() {
    return nowUs;
  }

  /** Time between two runs of the periodic maintenance. */
  long sweepIntervalUs() {
    return sweepIntervalUs;
  }

  /** Time reserved before a deadline for writing an answer. */
  long answerMarginUs() {
    return answerMarginUs;
  }

  /**
   * The shortest latency objective of all classes; time constants of the estimates are multiples of
   * it.
   */
  long shortestObjectiveUs() {
    return shortestObjectiveUs;
  }

  /** The exponential decay factor since a point in time, for the given time constant. */
  double decaySince(long sinceUs, double timeConstantUs) {
    return Math.exp((sinceUs - nowUs) / timeConstantUs);
  }
}

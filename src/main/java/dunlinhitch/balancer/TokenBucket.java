package dunlinhitch.balancer;

/**
 * A token bucket with fractional tokens and a phase.
 *
 * <p>It starts empty, and a request is admitted once the level reaches the phase, a fraction from 0
 * to 1, of its cost. If the phases of many buckets are uniformly distributed, the buckets together
 * admit at the sum of their rates from the start, whatever the costs; afterwards each admits one
 * request per period.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class TokenBucket {
  private double level;
  private double phase = 1;
  private long filledUs;

  /** Empties the bucket and sets its phase. */
  void reset(double newPhase, long nowUs) {
    level = 0;
    phase = newPhase;
    filledUs = nowUs;
  }

  /**
   * Refills the bucket up to now, to at most the phase of the cost plus the part of {@code burst}
   * above the cost, and returns whether it can afford the cost.
   */
  boolean canAfford(double cost, double rate, double burst, long nowUs) {
    level = Math.min(phase * cost + Math.max(0, burst - cost), level + rate * (nowUs - filledUs));
    filledUs = nowUs;
    return level >= phase * cost;
  }

  void spend(double cost) {
    level -= cost;
  }
}

package dunlinhitch.balancer;

/**
 * A token bucket with fractional tokens and a phase.
 *
 * <p>It begins empty, and until its first token is saved a request needs only the bucket's phase of
 * its cost. Where the phases of many buckets are drawn evenly from 0 to 1, all buckets together
 * admit from the first moment at the sum of their rates, whatever the costs are; from then on each
 * admits one request a period.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class TokenBucket {
  private double level;
  private double phase = 1;
  private long filledUs;

  /** Empties the bucket and gives it another phase. */
  void reset(double newPhase, long nowUs) {
    level = 0;
    phase = newPhase;
    filledUs = nowUs;
  }

  /** Fills the bucket up to now; at most {@code burst} beyond one cost is ever saved. */
  boolean canAfford(double cost, double rate, double burst, long nowUs) {
    level = Math.min(phase * cost + Math.max(0, burst - cost), level + rate * (nowUs - filledUs));
    filledUs = nowUs;
    return level >= phase * cost;
  }

  void spend(double cost) {
    level -= cost;
  }
}

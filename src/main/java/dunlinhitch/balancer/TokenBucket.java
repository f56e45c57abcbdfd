package dunlinhitch.balancer;

/**
 * A token bucket with fractional tokens and a phase.
 *
 * <p>The bucket starts empty. A request is admitted once the level reaches the request's cost
 * multiplied by the phase, which is from 0 to 1. If the phases of many buckets are uniformly
 * distributed, the buckets together admit requests at the sum of their rates from the start,
 * whatever the costs of the requests. After its first request, each bucket admits one request in
 * the time in which it gains the cost of a request.
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
   * Refills the bucket for the time since the last call and returns whether the level reaches the
   * cost multiplied by the phase. The level is limited to that product plus the amount by which
   * {@code burst} exceeds the cost.
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

package dunlinhitch.balancer;

/**
 * A value that decays exponentially with the time since its last update.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class DecayingValue {
  private double value;
  private long updatedUs;

  /** Returns the value at {@code nowUs}, decayed with the given time constant. */
  double at(long nowUs, double timeConstantUs) {
    return value * Math.exp((updatedUs - nowUs) / timeConstantUs);
  }

  void add(double increment, long nowUs, double timeConstantUs) {
    value = increment + at(nowUs, timeConstantUs);
    updatedUs = nowUs;
  }

  /**
   * Decays the value, then moves it towards a new sample by the fraction {@code weight} of the
   * distance between them.
   */
  void blend(double sample, double weight, long nowUs, double timeConstantUs) {
    value = at(nowUs, timeConstantUs);
    value += weight * (sample - value);
    updatedUs = nowUs;
  }

  /** Time of the last update, in microseconds; 0 before the first. */
  long updatedUs() {
    return updatedUs;
  }
}

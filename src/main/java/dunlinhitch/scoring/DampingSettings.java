package dunlinhitch.scoring;

/**
 * Damping of the factors, which prevents brokers with the same weights from all moving their load
 * to one endpoint (a herd effect).
 *
 * @param gain mean gain of the brokers; each broker draws its own gain at random from 0.5 to 1.5
 *     times this value, except that a value of 1 is used as it is. In each round the logarithm of a
 *     factor moves towards its target by the distance to the target times the gain
 * @param step maximum change of the logarithm in a round
 * @param maxOffset maximum absolute value of a random offset that is added to the logarithm of a
 *     factor; each broker has a constant offset for each target
 */
public record DampingSettings(double gain, double step, double maxOffset) {
  /** The default settings of a broker. */
  public static final DampingSettings STANDARD = new DampingSettings(0.1, 0.05, 0.03);

  /** No damping, used as the baseline of experiments. */
  public static final DampingSettings UNDAMPED = new DampingSettings(1, 100, 0);

  /** Validates the settings. */
  public DampingSettings {
    if (!(gain > 0 && gain <= 1) || !(step > 0) || !(maxOffset >= 0 && maxOffset < 1)) {
      throw new IllegalArgumentException(
          "gain must be above 0 and at most 1, step positive and maxOffset from 0 to below 1; got gain "
              + gain
              + ", step "
              + step
              + ", maxOffset "
              + maxOffset);
    }
  }

  /**
   * Returns the maximum change of a factor's logarithm during the time {@code staleUs} that
   * information takes to propagate.
   */
  public double maxChangeWithin(long staleUs, long roundUs) {
    return step * Math.ceil((double) staleUs / roundUs);
  }
}

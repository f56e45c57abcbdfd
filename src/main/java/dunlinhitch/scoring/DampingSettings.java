package dunlinhitch.scoring;

/**
 * Damping of the factors, which prevents brokers with the same weights from all moving their load
 * to one endpoint (a herd effect).
 *
 * @param gain fraction of the distance to its target that the logarithm of a factor moves in a
 *     round. This is the mean over all brokers; each broker draws its own gain from 0.5 to 1.5
 *     times this value
 * @param step maximum change of the logarithm in a round
 * @param maxOffset maximum of the constant random offset of the logarithm that a broker draws for
 *     each target
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

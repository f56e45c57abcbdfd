package dunlinhitch.scoring;

/**
 * Damping of the factors, so that brokers with the same weights do not all move their load to one
 * endpoint (a herd effect).
 *
 * @param gain share of the distance to the wanted value that a factor's logarithm moves in a round;
 *     the mean of the brokers, each of which draws its own from half to one and a half times it
 * @param step the most that the logarithm moves in a round
 * @param maxOffset the largest constant offset of the logarithm that a broker draws for an endpoint
 */
public record DampingSettings(double gain, double step, double maxOffset) {
  /** The settings of a broker. */
  public static final DampingSettings STANDARD = new DampingSettings(0.1, 0.05, 0.03);

  /** No damping: the baseline of the experiments. */
  public static final DampingSettings NAIVE = new DampingSettings(1, 100, 0);

  /** Validates the settings. */
  public DampingSettings {
    if (!(gain > 0 && gain <= 1) || !(step > 0) || !(maxOffset >= 0 && maxOffset < 1)) {
      throw new IllegalArgumentException(
          "a factor goes on a part of the way: " + gain + ", " + step + ", " + maxOffset);
    }
  }

  /** The most that a factor's logarithm moves while information of that age is propagated. */
  public double maxChangeWithin(long staleUs, long roundUs) {
    return step * Math.ceil((double) staleUs / roundUs);
  }
}

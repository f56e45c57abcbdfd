package dunlinhitch.scoring;

import java.util.SplittableRandom;

/**
 * Damping of factors at one broker. Each broker draws a random gain, and a random offset for each
 * target, so that brokers with the same weights do not shift their load simultaneously.
 */
final class FactorDamping {
  /**
   * Each broker's gain is the mean gain multiplied by a random number. The random number is drawn
   * from the range that begins at this value and has width 1.
   */
  private static final double MIN_GAIN_SHARE = 0.5;

  private final DampingSettings settings;
  private final double gain;
  private final long offsetSeed;

  /** Draws the broker's gain and then the seed of its offsets. */
  FactorDamping(DampingSettings settings, SplittableRandom random) {
    this.settings = settings;
    gain = settings.gain() < 1 ? settings.gain() * (MIN_GAIN_SHARE + random.nextDouble()) : 1;
    offsetSeed = random.nextLong();
  }

  /** The logarithm of the next factor, one step from the current one towards the target. */
  double next(double currentLog, double targetLog) {
    double distance = targetLog - currentLog;
    return currentLog + Math.max(-settings.step(), Math.min(settings.step(), distance * gain));
  }

  /**
   * The factor of a target, with this broker's offset for the target. The offset stays constant for
   * the lifetime of this object.
   */
  double factor(WeightTarget target, double currentLog) {
    double offset = new SplittableRandom(offsetSeed ^ target.hashCode()).nextDouble() * 2 - 1;
    return Math.exp(currentLog + settings.maxOffset() * offset);
  }
}

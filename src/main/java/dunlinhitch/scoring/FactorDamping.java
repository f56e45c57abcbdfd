package dunlinhitch.scoring;

import java.util.SplittableRandom;

/**
 * Damping of factors at one broker. Each broker draws a random gain, and a random offset for each
 * target, so that brokers with the same weights do not shift their load simultaneously.
 */
final class FactorDamping {
  /**
   * The smallest gain of a broker as a fraction of the mean gain; the largest is that fraction plus
   * 1.
   */
  private static final double MIN_GAIN_SHARE = 0.5;

  private final DampingSettings rule;
  private final double gain;
  private final long tiltSeed;

  /** Draws the broker's gain and then the seed of its offsets. */
  FactorDamping(DampingSettings rule, SplittableRandom random) {
    this.rule = rule;
    gain = rule.gain() < 1 ? rule.gain() * (MIN_GAIN_SHARE + random.nextDouble()) : 1;
    tiltSeed = random.nextLong();
  }

  /** The logarithm of the next factor, one step from the current one towards the target. */
  double next(double presentLog, double wantedLog) {
    double distance = wantedLog - presentLog;
    return presentLog + Math.max(-rule.step(), Math.min(rule.step(), distance * gain));
  }

  /** The factor of a target with this broker's offset, which is constant for its lifetime. */
  double factor(WeightTarget target, double presentLog) {
    double offset = new SplittableRandom(tiltSeed ^ target.hashCode()).nextDouble() * 2 - 1;
    return Math.exp(presentLog + rule.maxOffset() * offset);
  }
}

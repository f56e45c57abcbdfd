package dunlinhitch.scoring;

import java.util.SplittableRandom;

/**
 * Damping of factors at one broker. Each broker draws its own gain and its own offset for each
 * target, so that brokers with the same weights do not all move their load at once.
 */
final class FactorDamping {
  /** The smallest gain that a broker draws, as a share of the mean gain; the range is 1 wide. */
  private static final double MIN_GAIN_SHARE = 0.5;

  private final DampingSettings rule;
  private final double gain;
  private final long tiltSeed;

  /** Draws the broker's own gain and the seed of its offsets, in this order. */
  FactorDamping(DampingSettings rule, SplittableRandom random) {
    this.rule = rule;
    gain = rule.gain() < 1 ? rule.gain() * (MIN_GAIN_SHARE + random.nextDouble()) : 1;
    tiltSeed = random.nextLong();
  }

  /** The logarithm of the next factor, one step from the present one towards the wanted one. */
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

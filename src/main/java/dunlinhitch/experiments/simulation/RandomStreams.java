package dunlinhitch.experiments.simulation;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.statistics.distribution.ExponentialDistribution;
import org.apache.commons.statistics.distribution.LogNormalDistribution;

/**
 * Provides an independent random stream for each named component, so that additional draws in one
 * component do not change those of another.
 */
final class RandomStreams {
  private final long seed;

  RandomStreams(long seed) {
    this.seed = seed;
  }

  UniformRandomProvider stream(String component) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < component.length(); i++) {
      hash = (hash ^ component.charAt(i)) * 0x100000001b3L;
    }
    return RandomSource.XO_RO_SHI_RO_128_PP.create(
        new long[] {seed * 0x9E3779B97F4A7C15L + 1, hash});
  }

  static double uniform(UniformRandomProvider random, double from, double to) {
    return from + (to - from) * random.nextDouble();
  }

  /** Draws an exponential variate, such as the time between two events of a Poisson process. */
  static double exponential(UniformRandomProvider random, double mean) {
    return ExponentialDistribution.of(mean).createSampler(random).sample();
  }

  /**
   * Draws a log-normal variate with the given median; {@code sigma} is the standard deviation of
   * its logarithm.
   */
  static double logNormal(UniformRandomProvider random, double median, double sigma) {
    return LogNormalDistribution.of(Math.log(median), sigma).createSampler(random).sample();
  }
}

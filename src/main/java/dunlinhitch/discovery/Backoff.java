package dunlinhitch.discovery;

import java.util.SplittableRandom;

/**
 * Growing pauses between one try and the next, each drawn anew. Guards against brokers in step: all
 * lose discovery in one moment, and with equal pauses all would ask again in one moment, each time.
 */
final class Backoff {
  /** A pause is at least this share of what it may be. */
  private static final double LEAST = 0.5;

  private final SplittableRandom random;

  /** What the next may be if that is more than a first one; 0: it is a first one. */
  private long pauseUs;

  /** The longest that a first pause may be, and that any may be. */
  record Bounds(long firstUs, long longestUs) {}

  Backoff(long seed) {
    random = new SplittableRandom(seed);
  }

  /** The next, within what holds now. */
  long nextUs(Bounds bounds) {
    long mostUs = Math.min(bounds.longestUs(), Math.max(pauseUs, bounds.firstUs()));
    pauseUs = 2 * mostUs;
    return drawn(mostUs);
  }

  /** A span of its own that is that long at most. */
  long drawn(long us) {
    return (long) (us * (LEAST + (1 - LEAST) * random.nextDouble()));
  }

  /** It was heard: the next pause is a first one. */
  void heard() {
    pauseUs = 0;
  }
}

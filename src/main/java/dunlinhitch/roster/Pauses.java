package dunlinhitch.roster;

import java.util.SplittableRandom;

/**
 * Growing pauses between one try and the next, each drawn anew. Guards against brokers in step: all lose discovery in one
 * moment, and with equal pauses all would ask again in one moment, each time.
 */
final class Pauses {
    /** A pause is at least this share of what it may be. */
    private static final double LEAST = 0.5;
    private final Bounds bounds;
    private final SplittableRandom random;
    private long pauseUs;

    /** The longest that a first pause may be, and that any may be. */
    record Bounds(long firstUs, long longestUs) {
    }

    Pauses(Bounds bounds, long seed) {
        this.bounds = bounds;
        random = new SplittableRandom(seed);
        pauseUs = bounds.firstUs();
    }

    long nextUs() {
        long us = drawn(pauseUs);
        pauseUs = Math.min(bounds.longestUs(), 2 * pauseUs);
        return us;
    }

    /** A span of its own that is that long at most. */
    long drawn(long us) {
        return (long) (us * (LEAST + (1 - LEAST) * random.nextDouble()));
    }

    /** It was heard: the next pause is a first one. */
    void heard() {
        pauseUs = bounds.firstUs();
    }
}

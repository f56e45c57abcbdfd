package dunlinhitch.roster;

import java.util.SplittableRandom;

/**
 * Growing pauses between one try and the next, each drawn anew. Guards against brokers in step: all lose discovery in one
 * moment, and with equal pauses all would ask again in one moment, each time.
 */
final class Pauses {
    private static final long FIRST_US = 100_000;
    private static final long LONGEST_US = 1_000_000;
    /** A pause is at least this share of what it may be. */
    private static final double LEAST = 0.5;
    private final SplittableRandom random;
    private long pauseUs = FIRST_US;

    Pauses(long seed) {
        random = new SplittableRandom(seed);
    }

    long nextUs() {
        long us = (long) (pauseUs * (LEAST + (1 - LEAST) * random.nextDouble()));
        pauseUs = Math.min(LONGEST_US, 2 * pauseUs);
        return us;
    }

    /** It was heard: the next pause is a first one. */
    void heard() {
        pauseUs = FIRST_US;
    }
}

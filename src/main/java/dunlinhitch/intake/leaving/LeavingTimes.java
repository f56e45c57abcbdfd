package dunlinhitch.intake.leaving;

/**
 * The moments of a planned end, on the broker's clock.
 *
 * @param closeUs connections that stand idle are closed then, and each that is busy ends with its answer
 * @param crossingUs what crosses a close, or comes on a connection just made, is there after so long
 * @param endUs all that was taken is answered by then; SIGKILL may come soon after
 */
public record LeavingTimes(long closeUs, long crossingUs, long endUs) {
    /**
     * PROTOCOL: after being asked to end, the process is left alone for this and the longest deadline (for 3 s where that
     * is longer), and connections that stay open stay in use.
     */
    private static final long GRACE_US = 700_000;
    private static final long LONGEST_US = 3_000_000;
    /** The last answer is written so long before that. */
    private static final long ROOM_US = 250_000;
    private static final long CROSSING_US = 150_000;

    /** For a process that is asked to end now, where clients wait for an answer so long at most. */
    public static LeavingTimes of(long now, long longestDeadlineUs) {
        long longestUs = Math.min(LONGEST_US, longestDeadlineUs);
        long endUs = now + GRACE_US + longestUs - ROOM_US;
        return new LeavingTimes(Math.min(now + GRACE_US + longestUs / 2, endUs - 2 * CROSSING_US), CROSSING_US, endUs);
    }
}

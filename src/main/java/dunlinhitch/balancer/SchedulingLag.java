package dunlinhitch.balancer;

/**
 * Measures the recent lag of this broker's event loop. A query waits for about the duration of this
 * lag before it is read, and the answers to its parts wait as long. Queries that would be late
 * because of the lag are rejected immediately; otherwise the queries after them would be late too.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class SchedulingLag {
  /** Fraction of the lag that remains from one maintenance run to the next. */
  private static final double DECAY_PER_SWEEP = 0.8;

  private final BalancerContext context;
  private double lagUs;

  SchedulingLag(BalancerContext context) {
    this.context = context;
  }

  /** Records the lag of a maintenance run that starts now and was due at {@code dueUs}. */
  void onSweep(long dueUs) {
    long measuredUs = context.nowUs() - dueUs - context.answerMarginUs();
    lagUs = Math.max((double) measuredUs, DECAY_PER_SWEEP * lagUs);
  }

  double lagUs() {
    return lagUs;
  }
}

package dunlinhitch.balancer;

/**
 * How late this broker itself has been of late. A query has waited as long unread, and its answers
 * will: what cannot be in time for that is rejected at once, or all that follows is late too.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class SchedulingLag {
  /** Share of the lag that remains from one maintenance run to the next. */
  private static final double DECAY_PER_SWEEP = 0.8;

  private final BalancerContext context;
  private double lagUs;

  SchedulingLag(BalancerContext context) {
    this.context = context;
  }

  /** Takes a maintenance run that begins now and was due at that time. */
  void onSweep(long dueUs) {
    long measuredUs = context.nowUs() - dueUs - context.answerMarginUs();
    lagUs = Math.max((double) measuredUs, DECAY_PER_SWEEP * lagUs);
  }

  double lagUs() {
    return lagUs;
  }
}

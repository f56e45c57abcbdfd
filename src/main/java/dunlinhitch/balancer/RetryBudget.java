package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Rules;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The retry budget: attempts after the first are limited to a configured ratio of the requests
 * received within a sliding window. If many servers fail at the same time, parts wait for the
 * budget.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class RetryBudget {
  private final BalancerContext context;
  private final Deque<Long> receivedUs = new ArrayDeque<>();
  private final Deque<Long> retriedUs = new ArrayDeque<>();

  RetryBudget(BalancerContext context) {
    this.context = context;
  }

  /** Counts a query or part received; has no effect if no budget is configured. */
  void onReceived() {
    if (context.settings().rules().retryRatio() < 0) {
      return;
    }
    removeExpiredReceipts();
    receivedUs.addLast(context.nowUs());
  }

  void onRetry() {
    retriedUs.addLast(context.nowUs());
  }

  /** Refunds a retry that was charged at {@code sentUs} but never sent. */
  void refund(long sentUs) {
    retriedUs.removeLastOccurrence(sentUs);
  }

  /** Whether one more retry stays within the given fraction of the budget. */
  boolean allowsRetry(double share) {
    Rules rules = context.settings().rules();
    removeBefore(
        retriedUs, context.nowUs() - rules.retryRatioWindowUs() - context.settings().tickUs());
    removeExpiredReceipts();
    double limit = rules.retryBudgetFloor() + rules.retryRatio() * receivedUs.size();
    return rules.retryRatio() < 0 || retriedUs.size() + 1 <= share * limit;
  }

  private void removeExpiredReceipts() {
    long windowUs = context.settings().rules().retryRatioWindowUs();
    removeBefore(receivedUs, context.nowUs() - windowUs + context.settings().tickUs());
  }

  private static void removeBefore(Deque<Long> times, long limitUs) {
    while (!times.isEmpty() && times.peekFirst() < limitUs) {
      times.removeFirst();
    }
  }
}

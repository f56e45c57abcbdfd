package dunlinhitch.scoring;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Circuit breaker of one scorer. A failure opens it for a backoff that doubles with each failure,
 * with jitter. After a configured number of consecutive valid rounds the count of failures is
 * decremented. Ejections by other brokers never open it; if at least two other brokers have ejected
 * the scorer, the backoff after a failure at this broker is doubled once more.
 *
 * <p>Uses no clock, I/O or threads. Not thread-safe; the thread that runs the rounds owns it. Times
 * are in microseconds of a monotonic clock.
 */
public final class CircuitBreaker {
  /** The smallest factor by which the jitter multiplies a backoff. */
  private static final double MIN_BACKOFF_SHARE = 0.8;

  /** Width of the range from which the factor of the jitter is drawn. */
  private static final double JITTER = 0.2;

  private final CircuitBreakerSettings settings;
  private final SplittableRandom random;
  private final Map<Failure, Long> failureCounts = new EnumMap<>(Failure.class);
  private int consecutiveFailures;
  private int consecutiveSuccesses;
  private int consecutiveSlowRounds;
  private long retryAtUs = Long.MIN_VALUE;
  private Failure lastFailure;
  private String lastReason = "";

  /**
   * Creates a closed circuit breaker.
   *
   * @param seed seed of the jitter, so that tests and simulations are reproducible
   */
  public CircuitBreaker(CircuitBreakerSettings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
  }

  /**
   * Opens the circuit breaker until the backoff has passed.
   *
   * @param reason what went wrong, for an operator; may be empty
   * @param otherEjections number of other brokers that ejected the same scorer
   */
  public void onFailure(long nowUs, Failure failure, String reason, int otherEjections) {
    failureCounts.merge(failure, 1L, Long::sum);
    lastFailure = failure;
    lastReason = reason;
    consecutiveSuccesses = 0;
    consecutiveSlowRounds = 0;
    consecutiveFailures++;
    int doublings = consecutiveFailures - 1 + (otherEjections > 1 ? 1 : 0);
    double backoffUs =
        Math.min(
            (double) settings.maxBackoffUs(), settings.baseBackoffUs() * Math.pow(2, doublings));
    retryAtUs = nowUs + (long) (backoffUs * (MIN_BACKOFF_SHARE + JITTER * random.nextDouble()));
  }

  /** Records a valid round within the limit of processor time. */
  public void onSuccess() {
    consecutiveSlowRounds = 0;
    consecutiveSuccesses++;
    if (consecutiveSuccesses < settings.successesPerRecovery()) {
      return;
    }
    consecutiveSuccesses = 0;
    consecutiveFailures = Math.max(0, consecutiveFailures - 1);
    if (consecutiveFailures == 0) {
      lastFailure = null;
    }
  }

  /**
   * Records a round that exceeded the limit of processor time; returns true if there were enough
   * consecutive slow rounds to count as a failure.
   */
  public boolean onSlowRound() {
    consecutiveSlowRounds++;
    return consecutiveSlowRounds >= settings.slowRoundsPerFailure();
  }

  /** Closes the circuit breaker. Called when the scorer's jar or parameters may have changed. */
  public void reset() {
    consecutiveFailures = 0;
    consecutiveSuccesses = 0;
    consecutiveSlowRounds = 0;
    lastFailure = null;
    lastReason = "";
    retryAtUs = Long.MIN_VALUE;
  }

  /** True if the scorer may be loaded or called. */
  public boolean allowsRequest(long nowUs) {
    return nowUs >= retryAtUs;
  }

  /** The earliest time at which the scorer may be loaded or called. */
  public long retryAtUs() {
    return retryAtUs;
  }

  /** The last failure, or null after recovery. */
  public Failure lastFailure() {
    return lastFailure;
  }

  /** Number of times this failure was recorded; never reset. */
  public long count(Failure failure) {
    return failureCounts.getOrDefault(failure, 0L);
  }

  /** The last failure with its remedy, in one line for an operator; empty after recovery. */
  public String describe(String scorerName) {
    if (lastFailure == null) {
      return "";
    }
    return "scorer "
        + scorerName
        + " failed ("
        + lastFailure
        + "): "
        + lastFailure.description()
        + (lastReason.isEmpty() ? "" : ", " + lastReason)
        + "; "
        + lastFailure.remedy();
  }
}

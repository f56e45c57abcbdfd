package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.positive;

/**
 * The limits and capabilities of the deployment.
 *
 * @param maxAttempts attempts for each part, including the first
 * @param maxInFlight queries in flight at one broker
 * @param mayCancel whether attempts can be cancelled
 * @param mayHealthCheck whether health checks can be sent to servers
 * @param parallelAttempts whether a part may have several attempts in flight
 * @param retryAfter whether a rejection may contain a Retry-After
 * @param maxRetryAfterUs longest Retry-After delay that clients honor
 * @param connectionIdleUs how long a connection may stay idle
 */
public record Limits(
    int maxAttempts,
    int maxInFlight,
    boolean mayCancel,
    boolean mayHealthCheck,
    boolean parallelAttempts,
    boolean retryAfter,
    long maxRetryAfterUs,
    long connectTimeoutUs,
    int streamsPerConnection,
    long connectionIdleUs) {
  /** Checks the ranges. */
  public Limits {
    positive("limits.maxAttempts", maxAttempts);
    positive("limits.mostHeld", maxInFlight);
    atLeastZero("limits.maxRetryAfterUs", (double) maxRetryAfterUs);
    atLeastZero("limits.connectTimeoutUs", (double) connectTimeoutUs);
    positive("limits.streamsPerConnection", streamsPerConnection);
    atLeastZero("limits.connectionIdleUs", (double) connectionIdleUs);
  }
}

package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.positive;

/** What the site allows. */
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
  public Limits {
    positive("limits.maxAttempts", maxAttempts);
    positive("limits.mostHeld", maxInFlight);
    atLeastZero("limits.maxRetryAfterUs", (double) maxRetryAfterUs);
    atLeastZero("limits.connectTimeoutUs", (double) connectTimeoutUs);
    positive("limits.streamsPerConnection", streamsPerConnection);
    atLeastZero("limits.connectionIdleUs", (double) connectionIdleUs);
  }
}

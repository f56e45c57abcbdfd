package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/**
 * One tenant of the service.
 *
 * @param quotaPerS queries per second over all brokers
 * @param share its fraction of all queries, 0 to 1
 */
public record Tenant(String name, double quotaPerS, double share) {
  /** Checks the ranges. */
  public Tenant {
    atLeastZero("tenants.quotaPerS", quotaPerS);
    ratio("tenants.share", share);
  }
}

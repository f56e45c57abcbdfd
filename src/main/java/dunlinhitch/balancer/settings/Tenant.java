package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/**
 * A customer's part of the service: its name, its queries a second over all aggregators, and its
 * fraction.
 */
public record Tenant(String name, double quotaPerS, double share) {
  public Tenant {
    atLeastZero("tenants.quotaPerS", quotaPerS);
    ratio("tenants.share", share);
  }
}

package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.positive;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

import java.util.List;

/**
 * All settings of one load balancer.
 *
 * @param brokers number of brokers that share the servers
 * @param zones names of the zones
 * @param zone index of the broker's own zone
 * @param tickUs longest time between two events that the broker handles
 * @param classes the query classes; at least one
 * @param tenants the tenants, in the order of their indexes in events
 * @param overQuotaWeight weight of a query beyond its tenant's quota, 0 to 1
 * @param mustPollServerList whether the server list must be polled
 * @param reportsInAnswers whether answers contain load reports
 * @param reportsInHealthChecks whether results of health checks contain load reports
 * @param reportFields the meaning of the values of a load report, in order
 * @param clientsMarkRetries whether clients mark queries that they retry
 */
public record Settings(
    int brokers,
    List<String> zones,
    int zone,
    long tickUs,
    List<QueryClass> classes,
    List<Tenant> tenants,
    double overQuotaWeight,
    ShardLayout layout,
    Limits limits,
    Rules rules,
    Prices prices,
    boolean mustPollServerList,
    boolean reportsInAnswers,
    boolean reportsInHealthChecks,
    List<LoadReportField> reportFields,
    boolean clientsMarkRetries) {
  /** Checks the ranges and copies the lists. */
  public Settings {
    positive("aggregators", brokers);
    positive("tickUs", (double) tickUs);
    ratio("overShareWorth", overQuotaWeight);
    if (classes.isEmpty()) {
      throw new IllegalArgumentException("classes is empty");
    }
    zones = List.copyOf(zones);
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
    reportFields = List.copyOf(reportFields);
  }

  /** Returns these settings with other classes. */
  public Settings withClasses(List<QueryClass> others) {
    return copy(brokers, tickUs, others);
  }

  /** Returns these settings with another tick, in microseconds. */
  public Settings withTick(long us) {
    return copy(brokers, us, classes);
  }

  /**
   * Returns these settings with another number of brokers, among which the total capacity is
   * divided.
   */
  public Settings amongBrokers(int count) {
    return copy(count, tickUs, classes);
  }

  private Settings copy(int newBrokers, long newTickUs, List<QueryClass> newClasses) {
    return new Settings(
        newBrokers,
        zones,
        zone,
        newTickUs,
        newClasses,
        tenants,
        overQuotaWeight,
        layout,
        limits,
        rules,
        prices,
        mustPollServerList,
        reportsInAnswers,
        reportsInHealthChecks,
        reportFields,
        clientsMarkRetries);
  }
}

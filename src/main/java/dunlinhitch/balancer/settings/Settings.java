package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.positive;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

import java.util.List;

/** All an aggregator is told at its start. */
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
    boolean marksRepeats) {
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

  /** The same with other classes. */
  public Settings withClasses(List<QueryClass> others) {
    return new Settings(
        brokers,
        zones,
        zone,
        tickUs,
        others,
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
        marksRepeats);
  }

  /** The same with turns so far apart. */
  public Settings withTick(long us) {
    return new Settings(
        brokers,
        zones,
        zone,
        us,
        classes,
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
        marksRepeats);
  }

  /** The same among so many that share what all may do together. */
  public Settings amongBrokers(int many) {
    return new Settings(
        many,
        zones,
        zone,
        tickUs,
        classes,
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
        marksRepeats);
  }
}

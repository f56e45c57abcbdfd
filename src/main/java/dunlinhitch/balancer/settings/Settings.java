package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.positive;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

import java.util.List;

/** All an aggregator is told at its start. */
public record Settings(
    int aggregators,
    List<String> zones,
    int zone,
    long tickUs,
    List<QueryClass> classes,
    List<Tenant> tenants,
    double overShareWorth,
    ShardLayout layout,
    Limits limits,
    Rules rules,
    Prices prices,
    boolean mustAskForList,
    boolean reportsInAnswers,
    boolean reportsInProbes,
    List<LoadReportField> reportFields,
    boolean marksRepeats) {
  public Settings {
    positive("aggregators", aggregators);
    positive("tickUs", (double) tickUs);
    ratio("overShareWorth", overShareWorth);
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
        aggregators,
        zones,
        zone,
        tickUs,
        others,
        tenants,
        overShareWorth,
        layout,
        limits,
        rules,
        prices,
        mustAskForList,
        reportsInAnswers,
        reportsInProbes,
        reportFields,
        marksRepeats);
  }

  /** The same with turns so far apart. */
  public Settings withTick(long us) {
    return new Settings(
        aggregators,
        zones,
        zone,
        us,
        classes,
        tenants,
        overShareWorth,
        layout,
        limits,
        rules,
        prices,
        mustAskForList,
        reportsInAnswers,
        reportsInProbes,
        reportFields,
        marksRepeats);
  }

  /** The same among so many that share what all may do together. */
  public Settings amongAggregators(int many) {
    return new Settings(
        many,
        zones,
        zone,
        tickUs,
        classes,
        tenants,
        overShareWorth,
        layout,
        limits,
        rules,
        prices,
        mustAskForList,
        reportsInAnswers,
        reportsInProbes,
        reportFields,
        marksRepeats);
  }
}

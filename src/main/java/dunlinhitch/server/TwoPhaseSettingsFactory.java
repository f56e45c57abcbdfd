package dunlinhitch.server;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.config.Config;
import dunlinhitch.config.Product;
import dunlinhitch.twophase.TwoPhaseSettings;
import java.util.ArrayList;
import java.util.List;

/**
 * Translates the {@code [phases]} sections of the product's settings file. Only idempotent classes
 * may use two phases, because the first pass is requested in addition to the full one.
 */
final class TwoPhaseSettingsFactory {
  private TwoPhaseSettingsFactory() {}

  /**
   * Returns the settings of each section, in the order of the file.
   *
   * @throws Config.ConfigException if a section names a class that does not exist or that cannot
   *     use two phases
   */
  static List<TwoPhaseSettings> create(Config config) {
    List<QueryClass> classes = config.settings().classes();
    List<TwoPhaseSettings> settings = new ArrayList<>();
    for (Product.TwoPhaseClass phase : config.product().phases()) {
      requireSupported(find(classes, phase.queryClass()));
      settings.add(
          new TwoPhaseSettings(
              phase.queryClass(),
              phase.firstPassShare(),
              phase.minBlocks(),
              phase.trialShare(),
              phase.auditShare(),
              phase.minSavings(),
              phase.closeDurationUs()));
    }
    return settings;
  }

  private static QueryClass find(List<QueryClass> classes, String name) {
    return classes.stream()
        .filter(queryClass -> queryClass.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                failure(
                    name,
                    "unknown class; the configured classes are "
                        + classes.stream().map(QueryClass::name).toList()));
  }

  private static void requireSupported(QueryClass queryClass) {
    if (queryClass.idempotency() != Idempotency.FREE) {
      throw failure(
          queryClass.name(), "the class is not idempotent; two phases require an idempotent class");
    }
    if (queryClass.followUp() > 0) {
      throw failure(
          queryClass.name(),
          "the class has a second step; it ranks full answers and cannot be combined with two phases");
    }
  }

  private static Config.ConfigException failure(String queryClass, String reason) {
    return new Config.ConfigException("[phases " + queryClass + "]: " + reason);
  }
}

package dunlinhitch.balancer.settings;

import java.util.List;
import java.util.StringJoiner;
import java.util.function.Function;

/**
 * The canonical text of settings, which the brokers of a cluster hash to compare their settings.
 *
 * <p>Brokers of different builds compare these hashes, so the text is a wire format: its names and
 * their order never change, even if records or their components are renamed. A new setting is
 * appended to the end of its group.
 */
public final class CanonicalSettings {
  private CanonicalSettings() {}

  /** The text of these settings; equal settings have equal texts. */
  public static String of(Settings settings) {
    return new Group("Settings")
        .add("aggregators", settings.brokers())
        .add("zones", settings.zones())
        .add("zone", settings.zone())
        .add("tickUs", settings.tickUs())
        .add("classes", each(settings.classes(), CanonicalSettings::queryClass))
        .add("tenants", each(settings.tenants(), CanonicalSettings::tenant))
        .add("overShareWorth", settings.overQuotaWeight())
        .add("layout", layout(settings.layout()))
        .add("limits", limits(settings.limits()))
        .add("rules", rules(settings.rules()))
        .add("prices", prices(settings.prices()))
        .add("mustAskForList", settings.mustPollServerList())
        .add("reportsInAnswers", settings.reportsInAnswers())
        .add("reportsInProbes", settings.reportsInHealthChecks())
        .add("reportFields", settings.reportFields())
        .add("marksRepeats", settings.clientsMarkRetries())
        .text();
  }

  private static String queryClass(QueryClass queryClass) {
    return new Group("QueryClass")
        .add("name", queryClass.name())
        .add("aimUs", queryClass.latencyObjectiveUs())
        .add("aimStretch", queryClass.latencyObjectiveStretch())
        .add("deadlineUs", queryClass.deadlineUs())
        .add("repeat", queryClass.idempotency())
        .add("lateWorth", queryClass.lateWeight())
        .add("dedupWindowUs", queryClass.dedupWindowUs())
        .add("worth", queryClass.priorityWeight())
        .add("streaming", queryClass.streaming())
        .add("followUp", queryClass.followUp())
        .add("floor", queryClass.floor())
        .add("need", queryClass.need())
        .add("shortWorth", queryClass.partialWeight())
        .text();
  }

  private static String tenant(Tenant tenant) {
    return new Group("Tenant")
        .add("name", tenant.name())
        .add("quotaPerS", tenant.quotaPerS())
        .add("share", tenant.share())
        .text();
  }

  private static String layout(ShardLayout layout) {
    return new Group("Layout")
        .add("cells", layout.cells())
        .add("inARow", layout.replicationFactor())
        .add("shards", layout.shards())
        .add("partsPerCall", layout.partsPerCall())
        .add("callOverheadUs", layout.callOverheadUs())
        .text();
  }

  private static String limits(Limits limits) {
    return new Group("Limits")
        .add("maxAttempts", limits.maxAttempts())
        .add("mostHeld", limits.maxInFlight())
        .add("mayCancel", limits.mayCancel())
        .add("mayProbe", limits.mayHealthCheck())
        .add("parallelTries", limits.parallelAttempts())
        .add("retryAfter", limits.retryAfter())
        .add("maxRetryAfterUs", limits.maxRetryAfterUs())
        .add("connectTimeoutUs", limits.connectTimeoutUs())
        .add("streamsPerConnection", limits.streamsPerConnection())
        .add("connectionIdleUs", limits.connectionIdleUs())
        .text();
  }

  private static String rules(Rules rules) {
    return new Group("Rules")
        .add("answerSlackUs", rules.answerSlackUs())
        .add("askWithinUs", rules.pollWithinUs())
        .add("repeatRatio", rules.retryRatio())
        .add("budgetFree", rules.retryBudgetFloor())
        .add("ratioSpanUs", rules.retryRatioWindowUs())
        .add("coldFrom", rules.initialCapacityShare())
        .add("warmAfterUs", rules.slowStartDurationUs())
        .add("overloadFactor", rules.overloadFactor())
        .add("fallUs", rules.overloadToleranceUs())
        .add("drainGraceUs", rules.drainGraceUs())
        .text();
  }

  private static String prices(Prices prices) {
    return new Group("Prices")
        .add("crossZone", prices.crossZone())
        .add("probe", prices.healthCheck())
        .add("waste", prices.waste())
        .add("lateFail", prices.lateFail())
        .text();
  }

  private static <T> List<String> each(List<T> items, Function<T, String> text) {
    return items.stream().map(text).toList();
  }

  /** One named group of settings: {@code Name[first=1, second=2]}. */
  private static final class Group {
    private final StringJoiner text;

    private Group(String name) {
      text = new StringJoiner(", ", name + "[", "]");
    }

    private Group add(String name, Object value) {
      text.add(name + "=" + value);
      return this;
    }

    private String text() {
      return text.toString();
    }
  }
}

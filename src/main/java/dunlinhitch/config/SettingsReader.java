package dunlinhitch.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Prices;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Rules;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import dunlinhitch.balancer.settings.Tenant;
import dunlinhitch.text.BoundedJson;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the load balancer's settings from the simulator's protocol or from the platform's file.
 * Unknown keys are ignored, and absent keys take the protocol's defaults.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads settings from JSON text.
   *
   * @throws RuntimeException if the text is not a settings object; the message is plain text
   */
  public static Settings read(String text) {
    return read(BoundedJson.parse(text).asObject());
  }

  /**
   * Reads settings from a JSON object.
   *
   * @throws RuntimeException if a value has an unexpected type; the message is plain text
   */
  public static Settings read(JsonObject root) {
    JsonObject domain = JsonFields.object(root, "Domain");
    JsonObject report = JsonFields.object(root, "Report");
    String via = JsonFields.string(report, "Via", "none");
    return new Settings(
        JsonFields.integer(root, "ReplicasOfMe", 1),
        zones(root),
        JsonFields.integer(root, "MyZone", 0),
        JsonFields.longInteger(root, "TickUs", 1000),
        classes(JsonFields.array(root, "Classes"), domain),
        tenants(root),
        JsonFields.decimal(root, "OverShareWorth", 1),
        layout(domain),
        limits(JsonFields.object(root, "Limits")),
        rules(JsonFields.object(root, "Rules")),
        prices(JsonFields.object(root, "Deductions")),
        JsonFields.string(root, "Discovery", "push").equals("ask"),
        via.equals("answers"),
        via.equals("answers") || via.equals("probe"),
        fields(JsonFields.array(report, "Fields")),
        JsonFields.flag(JsonFields.object(root, "Clients"), "MarksRetry", false));
  }

  private static List<QueryClass> classes(JsonArray from, JsonObject domain) {
    List<QueryClass> classes = new ArrayList<>();
    for (int i = 0; i < from.size(); i++) {
      JsonObject queryClass = from.get(i).asObject();
      double need = JsonFields.decimalAt(domain, "ClassNeed", i, 1);
      long deadline = JsonFields.longInteger(queryClass, "DeadlineUs", 0);
      classes.add(
          new QueryClass(
              JsonFields.string(queryClass, "Name", ""),
              JsonFields.longInteger(queryClass, "OnTimeUs", deadline),
              JsonFields.decimal(queryClass, "AimStretch", 0),
              deadline,
              idempotency(JsonFields.string(queryClass, "Idempotency", "single_shot")),
              JsonFields.decimal(queryClass, "LateWorth", 0),
              JsonFields.longInteger(queryClass, "DedupWindowUs", 0),
              JsonFields.decimal(queryClass, "Points", 1),
              JsonFields.flag(queryClass, "Streaming", false),
              (int) JsonFields.decimalAt(domain, "FollowUp", i, 0),
              JsonFields.decimalAt(domain, "FloorByClass", i, need),
              need,
              JsonFields.decimalAt(domain, "ShortWorth", i, 1)));
    }
    return classes;
  }

  private static List<String> zones(JsonObject root) {
    List<String> zones = new ArrayList<>();
    JsonFields.array(root, "FailureDomains").forEach(name -> zones.add(name.asString()));
    return zones;
  }

  private static Idempotency idempotency(String name) {
    return switch (name) {
      case "free" -> Idempotency.FREE;
      case "guarded" -> Idempotency.GUARDED;
      default -> Idempotency.SINGLE_SHOT;
    };
  }

  private static List<Tenant> tenants(JsonObject root) {
    List<Tenant> tenants = new ArrayList<>();
    for (JsonValue element : JsonFields.array(root, "Orgs")) {
      JsonObject tenant = element.asObject();
      tenants.add(
          new Tenant(
              JsonFields.string(tenant, "Name", ""),
              JsonFields.decimal(tenant, "QuotaPerS", 0),
              JsonFields.decimal(tenant, "Share", 0)));
    }
    return tenants;
  }

  private static ShardLayout layout(JsonObject domain) {
    return new ShardLayout(
        JsonFields.integer(domain, "Positions", 1),
        JsonFields.integer(domain, "InARow", 1),
        JsonFields.integer(domain, "Shards", 0),
        JsonFields.integer(domain, "PerCall", 1),
        JsonFields.longInteger(domain, "OverheadUs", 0));
  }

  private static Limits limits(JsonObject limits) {
    return new Limits(
        JsonFields.integer(limits, "MaxAttempts", 1),
        JsonFields.integer(limits, "MostHeld", Integer.MAX_VALUE),
        JsonFields.flag(limits, "MayCancel", false),
        JsonFields.flag(limits, "MayProbe", false),
        JsonFields.flag(limits, "ParallelTries", false),
        JsonFields.flag(limits, "RetryAfter", false),
        JsonFields.longInteger(limits, "MaxRetryAfterUs", 0),
        JsonFields.longInteger(limits, "ConnectTimeoutUs", 0),
        JsonFields.integer(limits, "StreamsPerConn", 1),
        JsonFields.longInteger(limits, "ConnIdleUs", 0));
  }

  private static Rules rules(JsonObject rules) {
    return new Rules(
        JsonFields.longInteger(rules, "AnswerSlackUs", 0),
        JsonFields.longInteger(rules, "AskWithinUs", 0),
        JsonFields.decimal(rules, "RepeatRatio", -1),
        JsonFields.decimal(rules, "BudgetFree", 0),
        JsonFields.longInteger(rules, "RatioSpanUs", 0),
        JsonFields.decimal(rules, "ColdFrom", 1),
        JsonFields.longInteger(rules, "WarmAfterUs", 0),
        JsonFields.decimal(rules, "OverloadFactor", 0),
        JsonFields.longInteger(rules, "FallUs", 0),
        JsonFields.longInteger(rules, "DrainGraceUs", 0));
  }

  private static Prices prices(JsonObject deductions) {
    return new Prices(
        JsonFields.decimal(deductions, "CrossZone", 0),
        JsonFields.decimal(deductions, "Probe", 0),
        JsonFields.decimal(deductions, "Waste", 0),
        JsonFields.decimal(deductions, "LateFail", 0));
  }

  private static List<LoadReportField> fields(JsonArray from) {
    List<LoadReportField> fields = new ArrayList<>();
    for (JsonValue element : from) {
      fields.add(
          switch (element.asString()) {
            case "outstanding" -> LoadReportField.OUTSTANDING;
            case "backlog" -> LoadReportField.BACKLOG;
            case "utilization" -> LoadReportField.UTILIZATION;
            case "recent_ms" -> LoadReportField.RECENT_MS;
            case "throughput" -> LoadReportField.THROUGHPUT;
            case "errors_per_s" -> LoadReportField.ERRORS;
            default -> LoadReportField.OTHER;
          });
    }
    return fields;
  }
}

package dunlinhitch.config;

import com.eclipsesource.json.Json;
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
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the settings, from the simulator's wire or the configuration; unknown keys are ignored,
 * absent ones take the wire's default.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /** Throws a RuntimeException with a plain message on what is no settings object. */
  public static Settings read(String text) {
    return read(Json.parse(text).asObject());
  }

  /** The same from an object that stands within another. */
  public static Settings read(JsonObject root) {
    JsonObject domain = object(root, "Domain");
    JsonObject report = object(root, "Report");
    String via = string(report, "Via", "none");
    return new Settings(
        integer(root, "ReplicasOfMe", 1),
        zones(root),
        integer(root, "MyZone", 0),
        whole(root, "TickUs", 1000),
        classes(array(root, "Classes"), domain),
        tenants(root),
        number(root, "OverShareWorth", 1),
        layout(domain),
        limits(object(root, "Limits")),
        rules(object(root, "Rules")),
        prices(object(root, "Deductions")),
        string(root, "Discovery", "push").equals("ask"),
        via.equals("answers"),
        via.equals("answers") || via.equals("probe"),
        fields(array(report, "Fields")),
        flag(object(root, "Clients"), "MarksRetry", false));
  }

  private static List<QueryClass> classes(JsonArray from, JsonObject domain) {
    List<QueryClass> classes = new ArrayList<>();
    for (int i = 0; i < from.size(); i++) {
      JsonObject o = from.get(i).asObject();
      double need = at(domain, "ClassNeed", i, 1);
      long deadline = whole(o, "DeadlineUs", 0);
      classes.add(
          new QueryClass(
              string(o, "Name", ""),
              whole(o, "OnTimeUs", deadline),
              number(o, "AimStretch", 0),
              deadline,
              repeat(string(o, "Idempotency", "single_shot")),
              number(o, "LateWorth", 0),
              whole(o, "DedupWindowUs", 0),
              number(o, "Points", 1),
              flag(o, "Streaming", false),
              (int) at(domain, "FollowUp", i, 0),
              at(domain, "FloorByClass", i, need),
              need,
              at(domain, "ShortWorth", i, 1)));
    }
    return classes;
  }

  private static List<String> zones(JsonObject root) {
    List<String> zones = new ArrayList<>();
    array(root, "FailureDomains").forEach(name -> zones.add(name.asString()));
    return zones;
  }

  private static Idempotency repeat(String word) {
    return switch (word) {
      case "free" -> Idempotency.FREE;
      case "guarded" -> Idempotency.GUARDED;
      default -> Idempotency.SINGLE_SHOT;
    };
  }

  private static List<Tenant> tenants(JsonObject root) {
    List<Tenant> tenants = new ArrayList<>();
    for (JsonValue e : array(root, "Orgs")) {
      JsonObject o = e.asObject();
      tenants.add(
          new Tenant(string(o, "Name", ""), number(o, "QuotaPerS", 0), number(o, "Share", 0)));
    }
    return tenants;
  }

  private static ShardLayout layout(JsonObject o) {
    return new ShardLayout(
        integer(o, "Positions", 1),
        integer(o, "InARow", 1),
        integer(o, "Shards", 0),
        integer(o, "PerCall", 1),
        whole(o, "OverheadUs", 0));
  }

  private static Limits limits(JsonObject o) {
    return new Limits(
        integer(o, "MaxAttempts", 1),
        integer(o, "MostHeld", Integer.MAX_VALUE),
        flag(o, "MayCancel", false),
        flag(o, "MayProbe", false),
        flag(o, "ParallelTries", false),
        flag(o, "RetryAfter", false),
        whole(o, "MaxRetryAfterUs", 0),
        whole(o, "ConnectTimeoutUs", 0),
        integer(o, "StreamsPerConn", 1),
        whole(o, "ConnIdleUs", 0));
  }

  private static Rules rules(JsonObject o) {
    return new Rules(
        whole(o, "AnswerSlackUs", 0),
        whole(o, "AskWithinUs", 0),
        number(o, "RepeatRatio", -1),
        number(o, "BudgetFree", 0),
        whole(o, "RatioSpanUs", 0),
        number(o, "ColdFrom", 1),
        whole(o, "WarmAfterUs", 0),
        number(o, "OverloadFactor", 0),
        whole(o, "FallUs", 0),
        whole(o, "DrainGraceUs", 0));
  }

  private static Prices prices(JsonObject o) {
    return new Prices(
        number(o, "CrossZone", 0),
        number(o, "Probe", 0),
        number(o, "Waste", 0),
        number(o, "LateFail", 0));
  }

  private static List<LoadReportField> fields(JsonArray from) {
    List<LoadReportField> fields = new ArrayList<>();
    for (JsonValue e : from) {
      fields.add(
          switch (e.asString()) {
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

  private static JsonValue get(JsonObject o, String key) {
    JsonValue e = o.get(key);
    return e == null || e.isNull() ? null : e;
  }

  private static JsonObject object(JsonObject o, String key) {
    JsonValue e = get(o, key);
    return e == null ? new JsonObject() : e.asObject();
  }

  private static JsonArray array(JsonObject o, String key) {
    JsonValue e = get(o, key);
    return e == null ? new JsonArray() : e.asArray();
  }

  private static String string(JsonObject o, String key, String otherwise) {
    JsonValue e = get(o, key);
    return e == null ? otherwise : e.asString();
  }

  private static double number(JsonObject o, String key, double otherwise) {
    JsonValue e = get(o, key);
    return e == null ? otherwise : e.asDouble();
  }

  /** A figure that counts something: none so large that it could not be one. */
  private static double count(String key, JsonValue e) {
    double value = e.asDouble();
    if (!(Math.abs(value) < 1e15)) {
      throw new IllegalArgumentException(key + " is out of range: " + e);
    }
    return value;
  }

  private static long whole(JsonObject o, String key, long otherwise) {
    JsonValue e = get(o, key);
    return e == null ? otherwise : (long) count(key, e);
  }

  private static int integer(JsonObject o, String key, int otherwise) {
    JsonValue e = get(o, key);
    return e == null ? otherwise : (int) count(key, e);
  }

  private static boolean flag(JsonObject o, String key, boolean otherwise) {
    JsonValue e = get(o, key);
    return e == null ? otherwise : e.asBoolean();
  }

  private static double at(JsonObject o, String key, int index, double otherwise) {
    JsonArray values = array(o, key);
    return index < values.size() ? values.get(index).asDouble() : otherwise;
  }
}

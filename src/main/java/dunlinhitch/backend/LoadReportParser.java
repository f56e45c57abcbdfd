package dunlinhitch.backend;

import dunlinhitch.balancer.settings.LoadReportField;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Parses the load reports of stores, {@code name=value,name=value} or {@code -}, into the values of
 * the configured fields, in the configured order. Holds no state besides the supplier of the
 * configured fields.
 */
public final class LoadReportParser {
  private static final float[] NO_REPORT = {};
  private final Supplier<List<LoadReportField>> order;

  /**
   * Creates a parser.
   *
   * @param order returns the fields of the current settings; called for each report
   */
  public LoadReportParser(Supplier<List<LoadReportField>> order) {
    this.order = order;
  }

  /**
   * Returns the values, or an empty array if there is no report or a value is missing or malformed.
   */
  @SuppressWarnings("StringSplitter") // split() drops empty pairs at the end, as intended
  public float[] parse(String text) {
    List<LoadReportField> wanted = order.get();
    if (wanted.isEmpty() || text.isEmpty() || text.equals("-")) {
      return NO_REPORT;
    }
    List<LoadReportField> fields = new ArrayList<>();
    List<Float> values = new ArrayList<>();
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      try {
        fields.add(field(equals < 0 ? pair : pair.substring(0, equals)));
        values.add(Float.parseFloat(pair.substring(equals + 1)));
      } catch (NumberFormatException e) {
        return NO_REPORT;
      }
    }
    float[] report = new float[wanted.size()];
    for (int i = 0; i < report.length; i++) {
      int index = fields.indexOf(wanted.get(i));
      if (index < 0 || !Float.isFinite(values.get(index))) {
        return NO_REPORT;
      }
      report[i] = values.get(index);
    }
    return report;
  }

  /**
   * Maps a name to its field. Stores may use the names of the operators' protocol or those of the
   * settings.
   */
  private static LoadReportField field(String name) {
    return switch (name) {
      case "inflight", "outstanding" -> LoadReportField.OUTSTANDING;
      case "queue", "backlog" -> LoadReportField.BACKLOG;
      case "util", "utilization" -> LoadReportField.UTILIZATION;
      case "latency_ms", "recent_ms" -> LoadReportField.RECENT_MS;
      case "qps", "throughput" -> LoadReportField.THROUGHPUT;
      case "eps", "errors_per_s" -> LoadReportField.ERRORS;
      default -> LoadReportField.OTHER;
    };
  }
}

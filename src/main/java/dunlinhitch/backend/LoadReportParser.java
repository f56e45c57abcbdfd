package dunlinhitch.backend;

import dunlinhitch.balancer.settings.LoadReportField;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Load reports as stores word them, {@code name=value,name=value} or {@code -}, in the order of the
 * settings.
 */
public final class LoadReportParser {
  private static final float[] NONE = {};
  private final Supplier<List<LoadReportField>> order;

  public LoadReportParser(Supplier<List<LoadReportField>> order) {
    this.order = order;
  }

  /** Empty where there is no report, or one that lacks a value or holds what is none. */
  public float[] read(String text) {
    List<LoadReportField> wanted = order.get();
    if (wanted.isEmpty() || text.isEmpty() || text.equals("-")) {
      return NONE;
    }
    List<LoadReportField> fields = new ArrayList<>();
    List<Float> values = new ArrayList<>();
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      try {
        fields.add(field(equals < 0 ? pair : pair.substring(0, equals)));
        values.add(Float.parseFloat(pair.substring(equals + 1)));
      } catch (NumberFormatException e) {
        return NONE;
      }
    }
    float[] report = new float[wanted.size()];
    for (int i = 0; i < report.length; i++) {
      int at = fields.indexOf(wanted.get(i));
      if (at < 0 || !Float.isFinite(values.get(at))) {
        return NONE;
      }
      report[i] = values.get(at);
    }
    return report;
  }

  /** Stores use the operators' words, settings the wire's; both are known. */
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

package dunlinhitch.admin;

import dunlinhitch.core.BrokerStatus;
import dunlinhitch.core.BrokerStatus.ClassCounts;
import java.util.function.ToLongFunction;

/** Renders a {@link BrokerStatus} as metrics in Prometheus' text format. */
final class MetricsText {
  /** Content type of the format. */
  static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String NAME_PREFIX = "router_";
  private static final String COUNTER = "counter";
  private static final String GAUGE = "gauge";

  private final StringBuilder out = new StringBuilder();

  private MetricsText() {}

  static String of(BrokerStatus status) {
    MetricsText text = new MetricsText();
    text.appendByClass("passed", "Requests served.", status, ClassCounts::served);
    text.appendByClass("dropped", "Requests refused.", status, ClassCounts::rejected);
    text.appendByClass("bad_gateway", "Requests failed.", status, ClassCounts::failed);
    text.append(
        "upstream_tries",
        COUNTER,
        "Attempts written whole to calendar stores.",
        status.attemptsWritten());
    text.append("in_progress", GAUGE, "Requests taken but not yet ended.", status.openQueries());
    text.append(
        "known_calendar_stores", GAUGE, "Calendar stores on the list.", status.listedEndpoints());
    text.append(
        "skipped_calendar_stores",
        GAUGE,
        "Calendar stores on the list that get nothing new.",
        status.skippedEndpoints());
    text.append("loads", COUNTER, "Configurations taken on SIGHUP.", status.configurationLoads());
    text.append(
        "load_errors",
        COUNTER,
        "Configurations turned down on SIGHUP.",
        status.configurationLoadErrors());
    return text.out.toString();
  }

  private void append(String name, String type, String help, long value) {
    appendHeader(name, type, help);
    out.append(NAME_PREFIX).append(name).append(' ').append(value).append('\n');
  }

  private void appendByClass(
      String name, String help, BrokerStatus status, ToLongFunction<ClassCounts> value) {
    appendHeader(name, COUNTER, help);
    for (ClassCounts counts : status.classes()) {
      out.append(NAME_PREFIX).append(name);
      out.append("{category=\"").append(escape(counts.name())).append("\"} ");
      out.append(value.applyAsLong(counts)).append('\n');
    }
  }

  private void appendHeader(String name, String type, String help) {
    out.append("# HELP ").append(NAME_PREFIX).append(name);
    out.append(' ').append(help).append('\n');
    out.append("# TYPE ").append(NAME_PREFIX).append(name);
    out.append(' ').append(type).append('\n');
  }

  /** Escapes a label value as the format requires. */
  private static String escape(String labelValue) {
    return labelValue.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }
}

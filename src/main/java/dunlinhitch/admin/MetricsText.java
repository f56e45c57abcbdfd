package dunlinhitch.admin;

import dunlinhitch.core.BrokerStatus;
import dunlinhitch.core.BrokerStatus.OfClass;
import java.util.function.ToLongFunction;

/** Figures in Prometheus' text format. */
final class MetricsText {
  static final String TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private final StringBuilder out = new StringBuilder();

  private MetricsText() {}

  static String of(BrokerStatus figures) {
    MetricsText text = new MetricsText();
    text.classes("passed", "Requests served.", figures, OfClass::served);
    text.classes("dropped", "Requests refused.", figures, OfClass::refused);
    text.classes("bad_gateway", "Requests failed.", figures, OfClass::failed);
    text.one(
        "upstream_tries", "counter", "Attempts written whole to calendar stores.", figures.tries());
    text.one("in_progress", "gauge", "Requests taken but not yet ended.", figures.inProgress());
    text.one(
        "known_calendar_stores", "gauge", "Calendar stores on the list.", figures.knownStores());
    text.one(
        "skipped_calendar_stores",
        "gauge",
        "Calendar stores on the list that get nothing new.",
        figures.skippedStores());
    text.one("loads", "counter", "Configurations taken on SIGHUP.", figures.loads());
    text.one(
        "load_errors", "counter", "Configurations turned down on SIGHUP.", figures.loadErrors());
    return text.out.toString();
  }

  private void head(String name, String type, String help) {
    out.append("# HELP router_")
        .append(name)
        .append(' ')
        .append(help)
        .append("\n# TYPE router_")
        .append(name)
        .append(' ')
        .append(type)
        .append('\n');
  }

  private void one(String name, String type, String help, long value) {
    head(name, type, help);
    out.append("router_").append(name).append(' ').append(value).append('\n');
  }

  private void classes(
      String name, String help, BrokerStatus figures, ToLongFunction<OfClass> value) {
    head(name, "counter", help);
    figures
        .classes()
        .forEach(
            c ->
                out.append("router_")
                    .append(name)
                    .append("{category=\"")
                    .append(
                        c.name().replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n"))
                    .append("\"} ")
                    .append(value.applyAsLong(c))
                    .append('\n'));
  }
}

package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.Event;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Context shared by the components of one discovery source.
 *
 * @param source name of the source in events and log lines
 * @param events consumer of the source's events
 * @param log consumer of log lines
 * @param clock the broker's clock in microseconds
 */
record DiscoveryContext(
    String source, Consumer<Event> events, Consumer<String> log, LongSupplier clock) {
  long nowUs() {
    return clock.getAsLong();
  }

  void emit(Event event) {
    events.accept(event);
  }

  /** Logs a line without adding the name of the source. */
  void logLine(String line) {
    log.accept(line);
  }
}

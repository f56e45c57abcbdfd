package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.Event;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * What the parts of one discovery source share.
 *
 * @param source name of the source in events and log lines
 * @param events takes the events of the source
 * @param log takes log lines
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

  /** Logs a line as it is. */
  void logLine(String line) {
    log.accept(line);
  }
}

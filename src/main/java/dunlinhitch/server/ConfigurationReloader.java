package dunlinhitch.server;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.config.Config;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Reads the configuration again, off the event loop and one reading at a time, and applies what was
 * read in the order of the requests. Its methods are called on the event loop.
 */
final class ConfigurationReloader {
  private final Vertx vertx;
  private final Consumer<Event> events;
  private final Consumer<String> log;
  private Supplier<Config> reader;

  /** The reading that is under way, or the last one. */
  private Future<Config> lastReading = Future.succeededFuture();

  private long appliedWrittenMs;

  ConfigurationReloader(BrokerRuntime runtime, Consumer<Event> events) {
    vertx = runtime.vertx();
    log = runtime.log();
    appliedWrittenMs = runtime.config().writtenMs();
    this.events = events;
  }

  /** Sets how {@link #reloadIfChanged} reads the configuration; it does nothing without. */
  void setReader(Supplier<Config> reader) {
    this.reader = reader;
  }

  /** Reads and applies the configuration; where that fails the current one stays in force. */
  void reload(Supplier<Config> configurationReader) {
    read(configurationReader)
        .onComplete(
            reading -> {
              if (reading.succeeded()) {
                apply(reading.result());
              } else {
                log.accept("the configuration stays as it was: " + reading.cause().getMessage());
                events.accept(new Event.ConditionCounted(Counter.BAD_CONFIGURATIONS));
              }
            });
  }

  /** Reads the configuration and applies it unless the file is still the one that was applied. */
  void reloadIfChanged() {
    if (reader == null) {
      return;
    }
    read(reader)
        .onSuccess(
            config -> {
              if (config.writtenMs() != appliedWrittenMs) {
                apply(config);
              }
            });
  }

  /**
   * Starts after the reading before it has been applied: a reading that ends at once would
   * otherwise be applied before an earlier one whose end the loop has yet to process.
   */
  private Future<Config> read(Supplier<Config> configurationReader) {
    lastReading =
        lastReading.transform(previous -> vertx.executeBlocking(configurationReader::get));
    return lastReading;
  }

  private void apply(Config config) {
    appliedWrittenMs = config.writtenMs();
    events.accept(new Event.ConfigurationFileChanged(appliedWrittenMs));
    events.accept(
        new Event.ConfigurationReloaded(
            config.settings(), config.discovery().host(), config.discovery().port()));
    log.accept(
        "the configuration was taken: classes "
            + config.settings().classes().stream().map(QueryClass::name).toList());
  }
}

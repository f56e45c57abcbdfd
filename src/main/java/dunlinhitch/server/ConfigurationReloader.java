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
 * Reloads the configuration. Files are read off the event loop, one at a time, and applied in the
 * order of the requests. Its methods are called on the event loop.
 */
final class ConfigurationReloader {
  private final Vertx vertx;
  private final Consumer<Event> events;
  private final Consumer<String> log;
  private Supplier<Config> reader;

  /** The read in progress, or the last one. */
  private Future<Config> lastReading = Future.succeededFuture();

  private long appliedWrittenMs;

  ConfigurationReloader(BrokerRuntime runtime, Consumer<Event> events) {
    vertx = runtime.vertx();
    log = runtime.log();
    appliedWrittenMs = runtime.config().writtenMs();
    this.events = events;
  }

  /**
   * Sets how {@link #reloadIfChanged} reads the configuration; without a reader it does nothing.
   */
  void setReader(Supplier<Config> reader) {
    this.reader = reader;
  }

  /** Reads and applies the configuration; if reading fails, the current configuration is kept. */
  void reload(Supplier<Config> configurationReader) {
    read(configurationReader)
        .onComplete(
            reading -> {
              if (reading.succeeded()) {
                apply(reading.result());
              } else {
                log.accept(
                    "configuration rejected, keeping the current one: "
                        + reading.cause().getMessage());
                events.accept(new Event.ConditionCounted(Counter.BAD_CONFIGURATIONS));
              }
            });
  }

  /** Reads the configuration and applies it if the file has changed since it was last applied. */
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
   * Starts a read once the previous read is complete and its result was applied. Without this
   * order, a read that completes at once could be applied before the previous read, whose
   * completion the event loop may not have processed yet.
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
        "configuration reloaded: classes "
            + config.settings().classes().stream().map(QueryClass::name).toList());
  }
}

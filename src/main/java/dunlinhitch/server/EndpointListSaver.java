package dunlinhitch.server;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.discovery.EndpointListFile;
import dunlinhitch.endpoints.EndpointRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Saves the endpoint registry to disk whenever it has changed. A failed write is counted and
 * retried at the next interval, because a full or faulty disk may recover.
 *
 * <p>Not thread-safe; used on the event loop. Files are written on a worker thread.
 */
final class EndpointListSaver {
  /** Interval between checks for a change; also the delay before a failed write is retried. */
  static final long SAVE_INTERVAL_MS = 1_000;

  /** Age at which an unchanged state is written again, so that the ages in it stay correct. */
  private static final long MAXIMUM_SAVE_AGE_US = 30_000_000;

  private static final long NEVER_SAVED = -1;

  private final Vertx vertx;
  private final EndpointListFile file;
  private final LongSupplier clock;
  private final Consumer<Event> events;
  private final Consumer<String> log;
  private Future<Void> lastSave = Future.succeededFuture();
  private boolean failing;
  private long savedVersion = NEVER_SAVED;
  private long savedUs;

  EndpointListSaver(
      Vertx vertx,
      EndpointListFile file,
      LongSupplier clock,
      Consumer<Event> events,
      Consumer<String> log) {
    this.vertx = vertx;
    this.file = file;
    this.clock = clock;
    this.events = events;
    this.log = log;
  }

  /** Saves the registry if it has changed and no write is in progress. */
  void saveIfChanged(EndpointRegistry registry) {
    if (lastSave.isComplete() && isDue(registry)) {
      save(registry);
    }
  }

  /**
   * Saves unsaved changes after a write in progress; completes in any case, even if the write
   * fails.
   */
  Future<Void> saveLast(EndpointRegistry registry) {
    return lastSave
        .otherwiseEmpty()
        .compose(v -> isDue(registry) ? save(registry) : Future.succeededFuture())
        .otherwiseEmpty();
  }

  private boolean isDue(EndpointRegistry registry) {
    return registry.version() != savedVersion || clock.getAsLong() >= savedUs + MAXIMUM_SAVE_AGE_US;
  }

  private Future<Void> save(EndpointRegistry registry) {
    long nowUs = clock.getAsLong();
    savedVersion = registry.version();
    savedUs = nowUs;
    List<EndpointRegistry.Row> rows = registry.rows();
    lastSave =
        vertx
            .<Void>executeBlocking(
                () -> {
                  file.write(nowUs, rows);
                  return null;
                })
            .onComplete(done -> onWritten(done.cause()));
    return lastSave;
  }

  private void onWritten(Throwable failure) {
    if (failure != null) {
      savedVersion = NEVER_SAVED;
      events.accept(new Event.ConditionCounted(Counter.STATE_WRITES_FAILED));
    }
    if (failure != null != failing) {
      failing = failure != null;
      log.accept(
          failing
              ? "cannot save the last known state, will retry: " + failure
              : "saved the last known state after failed attempts");
    }
  }
}

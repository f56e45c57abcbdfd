package dunlinhitch.server;

import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.ExecutedQueries;
import dunlinhitch.core.QueryRequest;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Claims the id of each query among the processes of this broker before the reducer sees the query.
 * The processes of a hot restart count as one broker, which executes an id once; and a process that
 * follows another one must not execute again what that one has executed.
 *
 * <p>A claim lasts as long as this process would remember the id by itself, wherever the query
 * ends. If no store can have executed the query, its id is released.
 *
 * <p>Not thread-safe; used on the event loop.
 */
final class QueryIdClaims implements Consumer<Event> {
  private static final long NANOS_PER_MICRO = 1_000;

  private final Vertx vertx;
  private final Path folder;
  private final LongSupplier clock;
  private final Consumer<Event> events;
  private final Consumer<String> log;

  /** Null while there is no table; the processes then do not know each other's ids. */
  private SharedQueryIds ids;

  /**
   * Creates an instance that claims nothing yet.
   *
   * @param folder shared by the processes of this broker only; null if there is none
   * @param clock the clock of the queries' deadlines, in microseconds
   * @param events receives each event, and for a query whether its id was claimed
   */
  QueryIdClaims(
      Vertx vertx, Path folder, LongSupplier clock, Consumer<Event> events, Consumer<String> log) {
    this.vertx = vertx;
    this.folder = folder;
    this.clock = clock;
    this.events = events;
    this.log = log;
  }

  /**
   * Opens the table of claimed ids. Must have completed before the first query is read; a failure
   * is logged, because a broker without the table is better than none.
   */
  Future<Void> start() {
    if (folder == null) {
      return Future.succeededFuture();
    }
    return vertx
        .executeBlocking(() -> SharedQueryIds.open(folder))
        .onSuccess(opened -> ids = opened)
        .onFailure(
            cause ->
                log.accept(
                    "query ids are not shared with other processes of this broker: " + cause))
        .otherwiseEmpty()
        .mapEmpty();
  }

  @Override
  public void accept(Event event) {
    if (ids != null && event instanceof Event.QueryReceived received) {
      events.accept(received.withClaim(claim(received.request())));
    } else {
      events.accept(event);
    }
  }

  private Event.IdClaim claim(QueryRequest request) {
    long nowUs = sharedNowUs();
    long remainingUs = Math.max(0, request.deadlineUs() - clock.getAsLong());
    long untilUs = nowUs + remainingUs + ExecutedQueries.RETENTION_US;
    return ids.claim(request.id(), nowUs, untilUs) ? Event.IdClaim.CLAIMED : Event.IdClaim.REFUSED;
  }

  /** Releases an id that was claimed here, because no store can have executed its query. */
  void release(Effect.ReleaseQueryId release) {
    ids.release(release.id(), sharedNowUs());
  }

  /** The system's monotonic clock, whose origin is the same for all processes. */
  private static long sharedNowUs() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }
}

package dunlinhitch.frontend;

import io.vertx.core.Future;

/** One protocol over which clients send queries. All methods are called on the event loop. */
public interface Frontend {
  /** Listens on this address only; the result is the bound port. */
  Future<Integer> listen(String host, int port);

  /**
   * Closes the frontend: no new queries are accepted, and open ones are completed, or aborted at
   * {@code dueUs} (microseconds on the clock of the broker).
   */
  Future<Void> close(long dueUs);
}

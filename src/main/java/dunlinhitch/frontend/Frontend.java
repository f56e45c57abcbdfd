package dunlinhitch.frontend;

import io.vertx.core.Future;

/** One protocol over which clients send queries. All methods are called on the event loop. */
public interface Frontend {
  /** Listens on this address only; the result is the port. */
  Future<Integer> listen(String host, int port);

  /**
   * Accepts no new queries. Open ones are finished, or aborted at {@code dueUs} (microseconds on
   * the clock of the broker).
   */
  Future<Void> close(long dueUs);
}

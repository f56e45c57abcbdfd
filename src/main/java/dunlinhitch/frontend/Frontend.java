package dunlinhitch.frontend;

import io.vertx.core.Future;

/** Where clients connect; the fronts differ in wording only. */
public interface Frontend {
  /** Listens on this address only; the result is the port. */
  Future<Integer> listen(String host, int port);

  /** Takes nothing new; what is open is finished, or cut at {@code dueUs}. */
  Future<Void> close(long dueUs);
}

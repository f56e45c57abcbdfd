package dunlinhitch.backend;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect.AttemptRequest;
import java.util.List;

/**
 * The way to one store. It reports each part, probe and broken connection as an event; every
 * attempt it was given ends once, and none is reported after it was given up. All calls come from
 * the event loop.
 */
public interface BackendTransport {
  /**
   * Sends parts as one call; they leave at once or, where a connection is still to come up, then.
   */
  void call(List<AttemptRequest> parts);

  /** Nobody waits for the attempt any more; false where it is not out here. */
  boolean giveUp(long attempt);

  /**
   * Nobody waits for the attempt any more, but the store is not to be told: what has not left ends,
   * and never leaves; what has goes on.
   */
  void withdraw(long attempt);

  /** Asks for the store's report. */
  void probe(long probe);

  /** Closes connections that stand idle. */
  void release();

  /**
   * The roster's word on the store. Whatever is not ready gets nothing that still waits for a
   * connection; one that is gone is left when nothing is out to it.
   */
  void state(ServerState state);

  /**
   * The operators' word on the store: while it is barred nothing new leaves, whatever waits for a
   * connection.
   */
  void barred(boolean out);

  /** True where nothing is out and nothing waits. */
  boolean idle();

  /** Leaves the store now; what is out ends as a reset. */
  void close();
}

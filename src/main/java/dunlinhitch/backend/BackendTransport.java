package dunlinhitch.backend;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect.AttemptRequest;
import java.util.List;

/**
 * The client transport to one store. It reports each attempt, health check and broken connection as
 * an event: every attempt that it was given completes exactly once, and none completes after it was
 * cancelled. All methods are called on the event loop.
 */
public interface BackendTransport {
  /**
   * Sends the parts of one call together, at once or as soon as a connection is established.
   *
   * @param parts not empty, all of the same phase
   */
  void send(List<AttemptRequest> parts);

  /**
   * Cancels an attempt whose result is no longer needed and notifies the store where it has the
   * attempt.
   *
   * @param confirm whether an {@link dunlinhitch.core.Event.AttemptReleased} is wanted once the
   *     store does not have the attempt any more; none comes where that cannot be known
   * @return false where the attempt is not in flight on this transport
   */
  boolean cancel(long attempt, boolean confirm);

  /**
   * Withdraws an attempt without notifying the store: one that was not completely sent ends and is
   * never sent; one that was sent goes on.
   */
  void withdraw(long attempt);

  /**
   * Sends a health check, which also asks for the store's load report.
   *
   * @param healthCheck the id under which the result is reported
   */
  void sendHealthCheck(long healthCheck);

  /** Closes idle connections. */
  void closeIdleConnections();

  /**
   * Applies the store's state in the endpoint list. A store that is not ready gets nothing that
   * still waits for a connection; the connections to a removed one close once nothing is in flight.
   */
  void updateState(ServerState state);

  /**
   * Applies the operators' switch: while the store is administratively disabled nothing new is
   * sent, including what waits for a connection.
   */
  void setDisabled(boolean disabled);

  /** True where nothing is in flight and nothing waits for a connection. */
  boolean isIdle();

  /** Closes all connections now; what is in flight completes as a reset. */
  void close();
}

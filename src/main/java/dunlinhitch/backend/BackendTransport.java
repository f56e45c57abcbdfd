package dunlinhitch.backend;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect.AttemptRequest;
import java.util.List;

/**
 * The client transport to one store. It reports the outcome of each attempt and health check as an
 * event. Each attempt completes exactly once, or not at all if it is cancelled first. All methods
 * are called on the event loop.
 */
public interface BackendTransport {
  /**
   * Sends the parts of one call together, at once or as soon as a connection is established.
   *
   * @param parts not empty, all of the same phase
   */
  void send(List<AttemptRequest> parts);

  /**
   * Cancels an attempt whose result is no longer needed and notifies the store if the attempt was
   * sent to it.
   *
   * @param confirm whether to report an {@link dunlinhitch.core.Event.AttemptReleased} once the
   *     store no longer has the attempt; without proof of that, the event is never reported
   * @return false if the attempt is not in flight on this transport
   */
  boolean cancel(long attempt, boolean confirm);

  /**
   * Withdraws an attempt without notifying the store. If the attempt was not completely sent, it
   * ends and the rest of it is never sent; otherwise it continues.
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
   * Applies the store's state in the endpoint list. If the store is not ready, requests that still
   * wait for a connection fail. The connections to a removed store close once nothing is in flight.
   */
  void updateState(ServerState state);

  /**
   * Sets whether the store is administratively disabled. A disabled store is sent no new requests;
   * this includes requests that already wait for a connection.
   */
  void setDisabled(boolean disabled);

  /** True if nothing is in flight and nothing waits for a connection. */
  boolean isIdle();

  /**
   * Closes all connections immediately; attempts in flight complete with the outcome {@code RESET}.
   */
  void close();
}

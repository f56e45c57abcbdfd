package dunlinhitch.core;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.endpoints.Endpoint;

/**
 * An endpoint that is in the endpoint list, or was removed from it and still has attempts in
 * flight. Owned by the reducer; not thread-safe.
 */
final class TrackedEndpoint {
  /** The number that identifies the endpoint to the load balancer and the edges. */
  final int number;

  Endpoint endpoint;

  /** Start time of its process, in microseconds on this broker's clock; 0 means long ago. */
  long startedUs;

  /**
   * The start time most recently reported by discovery, Unix time in microseconds; 0 means long
   * ago.
   */
  long reportedStartUs;

  /**
   * Start of the grace period for draining, in microseconds: the earliest time at which discovery
   * may have sent the notification of the last change from or to {@code READY}.
   */
  long stateNotifiedUs;

  int attemptsInFlight;

  TrackedEndpoint(int number, Endpoint endpoint) {
    this.number = number;
    this.endpoint = endpoint;
  }

  ServerState state() {
    return endpoint.state();
  }

  String name() {
    return endpoint.name();
  }
}

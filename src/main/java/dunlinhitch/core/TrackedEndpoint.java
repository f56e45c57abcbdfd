package dunlinhitch.core;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.endpoints.Endpoint;

/**
 * An endpoint of the list, or one that has left it and still has attempts in flight. Owned by the
 * reducer; not thread-safe.
 */
final class TrackedEndpoint {
  /** The number that the load balancer and the edges know it by. */
  final int number;

  Endpoint endpoint;

  /** When its process started on this broker's clock, in microseconds; 0: a long time ago. */
  long startedUs;

  /** The start that discovery reported last, Unix time in microseconds; 0: a long time ago. */
  long startSeenUs;

  /**
   * When the last change from or to {@code READY} may have been notified at the earliest, in
   * microseconds; the grace period of draining runs from then.
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

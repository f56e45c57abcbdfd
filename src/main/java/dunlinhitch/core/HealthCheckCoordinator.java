package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;

/** Divides health checks among the brokers of a cluster. */
interface HealthCheckCoordinator {
  /**
   * Returns true if this broker must send the check. Otherwise another broker sends it and the
   * result is received later.
   */
  boolean mayCheck(TrackedEndpoint endpoint);

  /**
   * Called when a health check of this broker has ended, before the load balancer is notified.
   *
   * @param report the load report received with the outcome; empty if there is none
   */
  void onHealthCheckEnded(TrackedEndpoint endpoint, AttemptOutcome outcome, float[] report);
}

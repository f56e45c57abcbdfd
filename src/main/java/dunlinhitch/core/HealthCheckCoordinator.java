package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;

/** Shares health checks with other brokers, where there are any. */
interface HealthCheckCoordinator {
  /** True where this broker sends the check; else another does and its result is received later. */
  boolean mayCheck(TrackedEndpoint endpoint);

  /**
   * A health check of this broker has ended; called before the load balancer learns of it.
   *
   * @param report the load report that came with the outcome, empty for none
   */
  void onHealthCheckEnded(TrackedEndpoint endpoint, AttemptOutcome outcome, float[] report);
}

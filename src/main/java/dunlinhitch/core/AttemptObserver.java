package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;

/** Learns of the end of each attempt before the load balancer does. */
interface AttemptObserver {
  /**
   * An attempt has ended.
   *
   * @param report the load report that came with the outcome, empty for none
   * @param value the value received, null for none
   */
  void onAttemptEnded(
      InFlightAttempt attempt, AttemptOutcome outcome, float[] report, String value);
}

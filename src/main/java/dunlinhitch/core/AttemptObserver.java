package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;

/** Called at the end of each attempt, before the load balancer is notified of it. */
interface AttemptObserver {
  /**
   * Called when an attempt has ended.
   *
   * @param report the load report received with the outcome; empty if there is none
   * @param value the value received; null if there is none
   */
  void onAttemptEnded(
      InFlightAttempt attempt, AttemptOutcome outcome, float[] report, String value);
}

package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.TimerFired;

/** What the module may ask of the front node. */
public interface BalancerActions {
  /** Starts the part's next attempt, which ends by itself when {@code dueUs} is reached. */
  void send(int part, int server, long dueUs);

  /**
   * Answers the query from the parts that are in; the first of two answers where a second step
   * follows.
   */
  void answer(int query, boolean complete);

  /** Final: refused, safe to ask again after {@code retryAfterUs} (0: no advice). */
  void reject(int query, long retryAfterUs);

  /** Final: given up, with no promise. */
  void fail(int query);

  /** Stops waiting for one attempt. */
  void cancel(int part, int attempt);

  /** Shuts the idle connections to a server, so that the next send opens a new one. */
  void closeIdleConnections(int server);

  /** Checks a server. */
  void sendHealthCheck(int server);

  /**
   * Asks for an {@link TimerFired} with this token at that time or soon after; never within this
   * event.
   */
  void scheduleTimer(long token, long dueUs);

  /** Asks for changes of the server list from now on. */
  void subscribeToServerList();

  /** Leaves a line for the operators. */
  void log(String text);
}

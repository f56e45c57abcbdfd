package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.TimerFired;

/**
 * What the load balancer has its broker do. Called from within {@link LoadBalancer#on} only, on the
 * caller's thread; an implementation must not call the load balancer back. Times are microseconds
 * on the clock of the events.
 */
public interface BalancerActions {
  /** Sends the part's next attempt, which times out by itself at {@code dueUs}. */
  void send(int part, int server, long dueUs);

  /**
   * Answers the query from the parts that have arrived; the first of two answers where a second
   * step follows.
   */
  void answer(int query, boolean complete);

  /** Final: rejects the query, which is safe to retry after {@code retryAfterUs} (0: no advice). */
  void reject(int query, long retryAfterUs);

  /** Final: fails the query, which may have had an effect. */
  void fail(int query);

  /**
   * Tells why a query ends before it is complete, ahead of its answer, rejection or failure. For
   * operators; nothing has to be done.
   */
  default void onGivenUp(int query, GiveUpReason reason) {}

  /** Cancels one attempt; its {@link BalancerEvent.AttemptCompleted} still follows. */
  void cancel(int part, int attempt);

  /** Closes the idle connections to a server, so that the next send opens a new one. */
  void closeIdleConnections(int server);

  /** Sends a health check to a server. */
  void sendHealthCheck(int server);

  /**
   * Asks for a {@link TimerFired} with this token at that time or soon after; never within this
   * event.
   */
  void scheduleTimer(long token, long dueUs);

  /** Asks for changes of the server list from now on. */
  void subscribeToServerList();

  /** Writes a line to the operators' log. */
  void log(String text);
}

package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.TimerFired;

/**
 * The actions that the load balancer requests from its broker. Called from within {@link
 * LoadBalancer#on} only, on the caller's thread; an implementation must not call the load balancer
 * back. Times are microseconds on the clock of the events.
 */
public interface BalancerActions {
  /** Sends the part's next attempt, which times out by itself at {@code dueUs}. */
  void send(int part, int server, long dueUs);

  /**
   * Answers the query from the parts that have arrived. If a second step follows, this is the first
   * of two answers.
   */
  void answer(int query, boolean complete);

  /**
   * Final: rejects the query, which is safe to retry after {@code retryAfterUs} (0: no
   * Retry-After).
   */
  void reject(int query, long retryAfterUs);

  /** Final: fails the query, which may have had an effect. */
  void fail(int query);

  /**
   * Reports why a query ends before it is complete, ahead of its answer, rejection or failure.
   * Informational; the default does nothing.
   */
  default void onGivenUp(int query, GiveUpReason reason) {}

  /** Cancels one attempt; its {@link BalancerEvent.AttemptCompleted} still follows. */
  void cancel(int part, int attempt);

  /** Closes the idle connections to a server, so that the next send opens a new one. */
  void closeIdleConnections(int server);

  /** Sends a health check to a server. */
  void sendHealthCheck(int server);

  /**
   * Requests a {@link TimerFired} with this token at or shortly after that time; it must not be
   * delivered while the current event is handled.
   */
  void scheduleTimer(long token, long dueUs);

  /** Subscribes to changes of the server list. */
  void subscribeToServerList();

  /** Writes a line to the operators' log. */
  void log(String text);
}

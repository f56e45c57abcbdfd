package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.TimerFired;

/**
 * The actions that the load balancer requests from its broker. Called from within {@link
 * LoadBalancer#on} only, on the caller's thread; an implementation must not call the load balancer
 * back. Times are microseconds on the clock of the events.
 */
public interface BalancerActions {
  /**
   * Sends the part's next attempt. The broker ends the attempt as timed out at {@code dueUs},
   * without a call to {@link #cancel}.
   */
  void send(int part, int server, long dueUs);

  /**
   * Answers the query with the values of its answered parts. If a second step follows, this ends
   * only the first step, and the query's final outcome comes later.
   */
  void answer(int query, boolean complete);

  /**
   * Rejects the query as its final outcome. The client may safely retry it after {@code
   * retryAfterUs}; 0 means that the rejection contains no Retry-After.
   */
  void reject(int query, long retryAfterUs);

  /** Fails the query as its final outcome. The query may have had an effect. */
  void fail(int query);

  /**
   * Reports why a query ends before it is complete. Called before the query is answered, rejected
   * or failed. Informational; the default does nothing.
   */
  default void onGivenUp(int query, GiveUpReason reason) {}

  /** Cancels one attempt; its {@link BalancerEvent.AttemptCompleted} still follows. */
  void cancel(int part, int attempt);

  /** Closes the idle connections to a server, so that the next send opens a new one. */
  void closeIdleConnections(int server);

  /** Sends a health check to a server. */
  void sendHealthCheck(int server);

  /**
   * Requests a {@link TimerFired} event with this token at {@code dueUs} or shortly after. The
   * event must not be delivered while the current event is being handled.
   */
  void scheduleTimer(long token, long dueUs);

  /** Subscribes to changes of the server list. */
  void subscribeToServerList();

  /** Writes a line to the operators' log. */
  void log(String text);
}

package dunlinhitch.core;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.endpoints.Endpoint;
import java.util.List;

/**
 * Something that the {@link Reducer} asks an edge to do. Effects of a turn are carried out in
 * order. Times are microseconds of the broker's clock.
 */
public sealed interface Effect {
  /**
   * The result of a query's first step, which each part of the second carries.
   *
   * @param shards shards with a value, in the order of the query
   * @param complete whether the first step's answer was complete
   */
  record FirstStep(List<Integer> shards, boolean complete) {
    /** Copies the list. */
    public FirstStep {
      shards = List.copyOf(shards);
    }
  }

  /**
   * One attempt at one part.
   *
   * @param attempt the number by which its end is reported
   * @param partId the part's identifier, the same for each of its attempts
   * @param shard the shard
   * @param key the idempotency key, empty for none
   * @param dueUs when the broker stops waiting for it
   * @param repeatUntilUs the last moment at which it may be written although an earlier attempt may
   *     have been executed
   * @param text the text of the query
   * @param firstPass whether it asks only for the first pass
   * @param firstStep the first step that it follows, null for a part of that step itself
   */
  record AttemptRequest(
      long attempt,
      String partId,
      int shard,
      String key,
      long dueUs,
      long repeatUntilUs,
      String text,
      boolean firstPass,
      FirstStep firstStep) {
    /** The full pass of a part that has not been sent before, or may be repeated at any time. */
    public AttemptRequest(
        long attempt, String partId, int shard, String key, long dueUs, String text) {
      this(attempt, partId, shard, key, dueUs, Long.MAX_VALUE, text, false, null);
    }

    /**
     * Whether it may still be written; to be asked just before, for it may have waited for a
     * connection.
     */
    public boolean maySendAt(long nowUs) {
      return nowUs < dueUs && nowUs <= repeatUntilUs;
    }
  }

  /** Send one request with attempts that share it, all of one phase. */
  record SendRequest(int endpoint, List<AttemptRequest> parts) implements Effect {
    /** Copies the list. */
    public SendRequest {
      parts = List.copyOf(parts);
    }
  }

  /**
   * Cancel an attempt: its result is no longer waited for and the endpoint may drop it.
   *
   * @param confirm whether {@link Event.AttemptReleased} is wanted once the endpoint does not have
   *     the attempt any more
   */
  record CancelAttempt(int endpoint, long attempt, boolean confirm) implements Effect {}

  /**
   * Withdraw an attempt whose query has ended: it is not written if that has not happened yet, and
   * goes on where it has.
   */
  record WithdrawAttempt(int endpoint, long attempt) implements Effect {}

  /** Send a health check that asks the endpoint for its load report. */
  record SendHealthCheck(int endpoint, long healthCheck) implements Effect {}

  /** Close the idle connections to an endpoint. */
  record CloseIdleConnections(int endpoint) implements Effect {}

  /**
   * An endpoint is new or has changed. One that has left the list is disconnected as soon as it has
   * no attempt in flight.
   *
   * @param number its number
   * @param endpoint its entry in the list
   * @param disabled whether an operator has disabled it: nothing new is written to it
   */
  record EndpointChanged(int number, Endpoint endpoint, boolean disabled) implements Effect {}

  /** Send the one final response of an exchange. */
  record SendResponse(long exchange, QueryResponse response) implements Effect {}

  /**
   * Persist that an endpoint is disabled, or enabled again, then acknowledge the operator's call.
   */
  record PersistDisabledEndpoint(long call, String endpoint, boolean disabled) implements Effect {}

  /** Reject an operator's call that names an unknown endpoint. */
  record RejectUnknownEndpoint(long call) implements Effect {}

  /** Run the next turn at that time at the latest. */
  record ScheduleWakeUp(long dueUs) implements Effect {}

  /** Poll the endpoint list again. */
  record RefreshEndpoints() implements Effect {}

  /** Load the configuration again. */
  record ReloadConfiguration() implements Effect {}

  /** Poll the endpoint list at that address from now on. */
  record ChangeDiscoveryAddress(String host, int port) implements Effect {}

  /** Send a message to another member of the cluster. */
  record SendGossip(String host, int port, GossipMessage message) implements Effect {}

  /** Write a line for the operators. */
  record LogMessage(String text) implements Effect {}

  /** After {@link Event.ShutdownRequested}: every query has its response. */
  record ShutdownCompleted() implements Effect {}
}

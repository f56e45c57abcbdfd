package dunlinhitch.core;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.endpoints.Endpoint;
import java.util.List;

/**
 * An action that the {@link Reducer} requests from an edge. The effects of a turn are carried out
 * in order. Times are in microseconds on the broker's clock.
 */
public sealed interface Effect {
  /**
   * The result of a query's first step, sent with each part of the second step.
   *
   * @param shards shards that returned a value, in the order of the query
   * @param complete whether the first step's answer was complete
   */
  record FirstStep(List<Integer> shards, boolean complete) {
    /** Copies the list. */
    public FirstStep {
      shards = List.copyOf(shards);
    }
  }

  /**
   * One attempt to execute one part.
   *
   * @param attempt the attempt's number, used to report its end
   * @param partId the part's identifier, the same for each of its attempts
   * @param shard the shard
   * @param key the idempotency key; empty if there is none
   * @param dueUs the time at which the broker stops waiting for the attempt
   * @param repeatUntilUs the latest time at which the attempt may be written; {@link
   *     Long#MAX_VALUE} unless the class has a deduplication window and an earlier attempt of the
   *     part may have been executed
   * @param text the text of the query
   * @param firstPass whether the attempt is for a first pass
   * @param firstStep the result of the first step for a part of the second step; null for a part of
   *     the first step
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
    /**
     * Creates a full-pass attempt for a part that has not been sent before or may be repeated at
     * any time.
     */
    public AttemptRequest(
        long attempt, String partId, int shard, String key, long dueUs, String text) {
      this(attempt, partId, shard, key, dueUs, Long.MAX_VALUE, text, false, null);
    }

    /**
     * Whether the attempt may still be written. Must be checked immediately before the write,
     * because the attempt may have waited for a connection.
     */
    public boolean maySendAt(long nowUs) {
      return nowUs < dueUs && nowUs <= repeatUntilUs;
    }
  }

  /** Send one request with one or more attempts, all of the same phase. */
  record SendRequest(int endpoint, List<AttemptRequest> parts) implements Effect {
    /** Copies the list. */
    public SendRequest {
      parts = List.copyOf(parts);
    }
  }

  /**
   * Cancel an attempt: its result is no longer needed and the endpoint may discard it.
   *
   * @param confirm whether the edge must report {@link Event.AttemptReleased} once the endpoint
   *     will no longer execute the attempt
   */
  record CancelAttempt(int endpoint, long attempt, boolean confirm) implements Effect {}

  /**
   * Withdraw an attempt whose query has ended. An attempt that has not been written yet is
   * discarded. An attempt that has been written continues at the endpoint.
   */
  record WithdrawAttempt(int endpoint, long attempt) implements Effect {}

  /** Send a health check that requests the endpoint's load report. */
  record SendHealthCheck(int endpoint, long healthCheck) implements Effect {}

  /** Close the idle connections to an endpoint. */
  record CloseIdleConnections(int endpoint) implements Effect {}

  /**
   * Apply an added, changed or removed endpoint. The edge disconnects a removed endpoint as soon as
   * it has no attempts in flight.
   *
   * @param number the endpoint's number
   * @param endpoint its entry in the endpoint list
   * @param disabled whether an operator has disabled the endpoint, so that no new attempts are
   *     written to it
   */
  record EndpointChanged(int number, Endpoint endpoint, boolean disabled) implements Effect {}

  /**
   * Release the id of a query that no endpoint can have executed, so that other processes of this
   * broker may execute it.
   */
  record ReleaseQueryId(String id) implements Effect {}

  /** Send the one final response of an exchange. */
  record SendResponse(long exchange, QueryResponse response) implements Effect {}

  /** Persist the disabled or enabled state of an endpoint, then acknowledge the operator's call. */
  record PersistDisabledEndpoint(long call, String endpoint, boolean disabled) implements Effect {}

  /** Reject an operator's call that names an unknown endpoint. */
  record RejectUnknownEndpoint(long call) implements Effect {}

  /** Run the next turn at {@code dueUs} at the latest. */
  record ScheduleWakeUp(long dueUs) implements Effect {}

  /** Poll the endpoint list immediately. */
  record RefreshEndpoints() implements Effect {}

  /** Reload the configuration. */
  record ReloadConfiguration() implements Effect {}

  /** Poll the endpoint list at the given address from now on. */
  record ChangeDiscoveryAddress(String host, int port) implements Effect {}

  /** Send a message to another member of the cluster. */
  record SendGossip(String host, int port, GossipMessage message) implements Effect {}

  /** Write a line to the log for operators. */
  record LogMessage(String text) implements Effect {}

  /**
   * The shutdown requested by {@link Event.ShutdownRequested} is complete: every query has received
   * its response.
   */
  record ShutdownCompleted() implements Effect {}
}

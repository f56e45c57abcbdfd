package dunlinhitch.core;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.endpoints.Endpoint;
import java.util.List;

/** Reading or writing that the {@link Reducer} asks of an edge. */
public sealed interface Effect {
  /**
   * What a part of a second step says of the first: the shards that were in, in the order of the
   * query, and whether they made a whole answer.
   */
  record FirstStep(List<Integer> in, boolean whole) {
    public FirstStep {
      in = List.copyOf(in);
    }
  }

  /**
   * What a store is sent for one part; {@code dueUs} is when the broker stops waiting for it;
   * {@code repeatUntilUs} is the last moment at which it may leave though it may have run before;
   * {@code first}: it is only asked whether there is anything; {@code after}: the first step that
   * it follows, null for a part of that step itself.
   */
  record AttemptRequest(
      long attempt,
      String partId,
      int shard,
      String key,
      long dueUs,
      long repeatUntilUs,
      String text,
      boolean first,
      FirstStep after) {
    /** A part that has not been sent before, or may be at any time. */
    public AttemptRequest(
        long attempt, String partId, int shard, String key, long dueUs, String text) {
      this(attempt, partId, shard, key, dueUs, Long.MAX_VALUE, text, false, null);
    }

    /** To be asked when its bytes are written: it may have waited for a connection. */
    public boolean mayLeave(long nowUs) {
      return nowUs < dueUs && nowUs <= repeatUntilUs;
    }
  }

  /** One call: parts that travel to a store together, all of one phase. */
  record SendRequest(int store, List<AttemptRequest> parts) implements Effect {
    public SendRequest {
      parts = List.copyOf(parts);
    }
  }

  /** Nothing is waited for any more; the store may drop it. */
  record CancelAttempt(int store, long attempt) implements Effect {}

  /**
   * The attempt's query is over; where cancelling is not allowed only what has not left is taken
   * back.
   */
  record WithdrawAttempt(int store, long attempt) implements Effect {}

  /** A check of a store that asks for its report. */
  record SendHealthCheck(int store, long probe) implements Effect {}

  /** Idle connections to the store are to be shut. */
  record CloseIdleConnections(int store) implements Effect {}

  /**
   * A store is new or changed; a gone one is to be left as soon as nothing is out to it, one that
   * is {@code barred} gets nothing new, whatever waits for it.
   */
  record EndpointChanged(int store, Endpoint entry, boolean barred) implements Effect {}

  /** The final answer of an exchange. */
  record SendResponse(long exchange, QueryResponse answer) implements Effect {}

  /**
   * The store is out, or back; once that is kept for the processes to come, the call is told yes.
   */
  record PersistDisabledEndpoint(long call, String store, boolean out) implements Effect {}

  /** An operator's call names no store that is known. */
  record RejectUnknownEndpoint(long call) implements Effect {}

  /** The reducer wants a turn at that time at the latest. */
  record ScheduleWakeUp(long dueUs) implements Effect {}

  /** The list of stores is to be asked for again. */
  record RefreshEndpoints() implements Effect {}

  /** The configuration is to be read again. */
  record ReloadConfiguration() implements Effect {}

  /** The list of stores is from now on asked for at that address. */
  record ChangeDiscoveryAddress(String host, int port) implements Effect {}

  /** A word for another broker, at its address. */
  record SendGossip(String host, int port, GossipMessage word) implements Effect {}

  /** A line for the operators. */
  record LogMessage(String text) implements Effect {}

  /** After a {@link Event.ShutdownRequested}: all that was taken is answered. */
  record ShutdownCompleted() implements Effect {}
}

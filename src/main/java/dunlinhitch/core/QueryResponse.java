package dunlinhitch.core;

import java.util.List;

/** The one final response of a query, before a frontend encodes it. */
public sealed interface QueryResponse {
  /** The value of one shard, as the endpoint gave it. */
  record PartValue(int shard, String value) {}

  /**
   * The query was served.
   *
   * @param complete whether the response is complete
   * @param parts the values received
   * @param pruned shards without a record by their first pass, null where the client did not ask
   */
  record Served(boolean complete, List<PartValue> parts, List<Integer> pruned)
      implements QueryResponse {
    /** Copies the lists. */
    public Served {
      parts = List.copyOf(parts);
      pruned = pruned == null ? null : List.copyOf(pruned);
    }

    /** A response that does not name pruned shards. */
    public Served(boolean complete, List<PartValue> parts) {
      this(complete, parts, null);
    }
  }

  /**
   * The query was rejected: a retry is harmless.
   *
   * @param retryAfterUs the delay advised before a retry, in microseconds; 0 for none
   */
  record Rejected(long retryAfterUs) implements QueryResponse {}

  /** The query was given up, with no promise about its effect. */
  record Failed() implements QueryResponse {}

  /** The query was given up because its deadline is over, or is about to be. */
  record DeadlineExceeded() implements QueryResponse {}
}

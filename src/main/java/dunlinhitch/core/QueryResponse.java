package dunlinhitch.core;

import java.util.List;

/** The final response to a query, before a frontend encodes it. */
public sealed interface QueryResponse {
  /** The value of one shard, as returned by the endpoint. */
  record PartValue(int shard, String value) {}

  /**
   * The query was served.
   *
   * @param complete whether the response is complete
   * @param parts the values received
   * @param pruned shards pruned because their first pass found no records; null if the client did
   *     not request them
   */
  record Served(boolean complete, List<PartValue> parts, List<Integer> pruned)
      implements QueryResponse {
    /** Copies the lists. */
    public Served {
      parts = List.copyOf(parts);
      pruned = pruned == null ? null : List.copyOf(pruned);
    }

    /** Creates a response that does not list pruned shards. */
    public Served(boolean complete, List<PartValue> parts) {
      this(complete, parts, null);
    }
  }

  /**
   * The query was rejected; a retry is safe.
   *
   * @param retryAfterUs the recommended delay before a retry, in microseconds; 0 if there is none
   */
  record Rejected(long retryAfterUs) implements QueryResponse {}

  /** The query failed; it may have had an effect. */
  record Failed() implements QueryResponse {}

  /** The query was ended because its deadline has passed or is about to pass. */
  record DeadlineExceeded() implements QueryResponse {}
}

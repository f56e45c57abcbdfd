package dunlinhitch.core;

import java.util.List;

/** The one final answer of a query, before any front words it. */
public sealed interface QueryResponse {
  /** A part that is in: its shard and the value as the store gave it. */
  record PartValue(int shard, String value) {}

  /**
   * Served, marked whole or not; {@code pruned}: shards whose store said first that they have
   * nothing, null where nobody asked.
   */
  record Served(boolean whole, List<PartValue> parts, List<Integer> pruned)
      implements QueryResponse {
    public Served {
      parts = List.copyOf(parts);
      pruned = pruned == null ? null : List.copyOf(pruned);
    }

    public Served(boolean whole, List<PartValue> parts) {
      this(whole, parts, null);
    }
  }

  /** Trying again is harmless, best after {@code retryAfterUs} (0: no advice). */
  record Rejected(long retryAfterUs) implements QueryResponse {}

  /** Given up, with no promise about its effect. */
  record Failed() implements QueryResponse {}

  /** Given up because the client's time is as good as over. */
  record DeadlineExceeded() implements QueryResponse {}
}

package dunlinhitch.core;

import dunlinhitch.balancer.settings.QueryClass;
import java.util.List;

/**
 * A client's request, independent of the frontend that received it.
 *
 * @param id the client's identifier for the query
 * @param key the idempotency key; empty if the class does not use idempotency keys
 * @param queryClass the query class; the definition itself, because its index in the settings may
 *     change
 * @param tenant the tenant's name, because its index in the settings may change; empty if the
 *     tenant is missing from the settings
 * @param deadlineUs when the client stops waiting, in microseconds
 * @param retriedByClient whether the client marked the request as a retry
 * @param parts the parts, one per shard
 * @param text the query text, sent with each part
 * @param showPruned whether the response must list pruned shards
 */
public record QueryRequest(
    String id,
    String key,
    QueryClass queryClass,
    String tenant,
    long deadlineUs,
    boolean retriedByClient,
    List<PartRequest> parts,
    String text,
    boolean showPruned) {
  /**
   * One part of a query.
   *
   * @param shard the shard
   * @param weight its share of the complete response
   * @param hintUs estimated work in microseconds; 0 if there is no estimate
   */
  public record PartRequest(int shard, double weight, long hintUs) {}

  /** Copies the list. */
  public QueryRequest {
    parts = List.copyOf(parts);
  }

  /** Creates a request without a tenant whose response does not list pruned shards. */
  public QueryRequest(
      String id,
      String key,
      QueryClass queryClass,
      long deadlineUs,
      boolean retriedByClient,
      List<PartRequest> parts,
      String text) {
    this(id, key, queryClass, "", deadlineUs, retriedByClient, parts, text, false);
  }

  /** Returns this request with its deadline limited to {@code otherUs}. */
  public QueryRequest withDeadlineAtMost(long otherUs) {
    return new QueryRequest(
        id,
        key,
        queryClass,
        tenant,
        Math.min(deadlineUs, otherUs),
        retriedByClient,
        parts,
        text,
        showPruned);
  }

  /** Returns this request with its class replaced by the class's current definition. */
  public QueryRequest withQueryClass(QueryClass current) {
    return new QueryRequest(
        id, key, current, tenant, deadlineUs, retriedByClient, parts, text, showPruned);
  }
}

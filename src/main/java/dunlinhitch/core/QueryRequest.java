package dunlinhitch.core;

import dunlinhitch.balancer.settings.QueryClass;
import java.util.List;

/**
 * A client's request, whichever frontend read it.
 *
 * @param id the client's identifier of the query
 * @param key the idempotency key, empty where the class has none
 * @param queryClass the class itself, for its index in the settings may change
 * @param tenant the tenant's name for the same reason; empty where the settings know none such
 * @param deadlineUs when the client stops waiting, in microseconds
 * @param isRepeat whether the client marked it as a repeat
 * @param parts the parts, one for each shard
 * @param text what each part carries
 * @param showPruned whether the response is to name pruned shards
 */
public record QueryRequest(
    String id,
    String key,
    QueryClass queryClass,
    String tenant,
    long deadlineUs,
    boolean isRepeat,
    List<PartRequest> parts,
    String text,
    boolean showPruned) {
  /**
   * One part of a query.
   *
   * @param shard the shard
   * @param weight its share of the complete response
   * @param hintUs an estimate of its work in microseconds, 0 for none
   */
  public record PartRequest(int shard, double weight, long hintUs) {}

  /** Copies the list. */
  public QueryRequest {
    parts = List.copyOf(parts);
  }

  /** A request without a tenant, whose response does not name pruned shards. */
  public QueryRequest(
      String id,
      String key,
      QueryClass queryClass,
      long deadlineUs,
      boolean isRepeat,
      List<PartRequest> parts,
      String text) {
    this(id, key, queryClass, "", deadlineUs, isRepeat, parts, text, false);
  }

  /** The same request with the earlier of its own deadline and another. */
  public QueryRequest dueBy(long otherUs) {
    return new QueryRequest(
        id,
        key,
        queryClass,
        tenant,
        Math.min(deadlineUs, otherUs),
        isRepeat,
        parts,
        text,
        showPruned);
  }

  /** The same request under what its class has become since it was read. */
  public QueryRequest under(QueryClass now) {
    return new QueryRequest(id, key, now, tenant, deadlineUs, isRepeat, parts, text, showPruned);
  }
}

package dunlinhitch.core;

import dunlinhitch.balancer.settings.QueryClass;
import java.util.List;

/**
 * What a client asks, whichever front it came by. {@code key} is empty where the class carries
 * none; {@code text} is what each part has to carry; {@code kind} is the class itself, for its
 * place in the settings may shift, and {@code tenant} is for the same reason a name, empty where
 * the settings know none such; {@code showPruned}: the answer is to say what was spared; {@code
 * deadlineUs} is when the client stops waiting.
 */
public record QueryRequest(
    String id,
    String key,
    QueryClass kind,
    String tenant,
    long deadlineUs,
    boolean repeat,
    List<PartRequest> parts,
    String text,
    boolean showPruned) {
  /** One part: its shard, its share of the whole and, where above 0, a guess at its work. */
  public record PartRequest(int shard, double weight, long hintUs) {}

  public QueryRequest {
    parts = List.copyOf(parts);
  }

  public QueryRequest(
      String id,
      String key,
      QueryClass kind,
      long deadlineUs,
      boolean repeat,
      List<PartRequest> parts,
      String text) {
    this(id, key, kind, "", deadlineUs, repeat, parts, text, false);
  }

  /** The same with the earlier of two deadlines. */
  public QueryRequest dueBy(long otherUs) {
    return new QueryRequest(
        id, key, kind, tenant, Math.min(deadlineUs, otherUs), repeat, parts, text, showPruned);
  }

  /** The same under what its class has become since it was read. */
  public QueryRequest under(QueryClass now) {
    return new QueryRequest(id, key, now, tenant, deadlineUs, repeat, parts, text, showPruned);
  }
}

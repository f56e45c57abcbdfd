package dunlinhitch.answerkeys;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * One part of a query, as the client sent it.
 *
 * @param tenant the tenant, or empty if there is none
 * @param variants the values of the attributes that the query class declares; an absent attribute
 *     counts as empty
 * @param clientKind the kind of client that the variants indicate
 * @param idempotencyKeyed whether the query carries an idempotency key
 */
public record PartQuery(
    String queryClass,
    String tenant,
    int shard,
    String text,
    Map<String, String> variants,
    String clientKind,
    boolean idempotencyKeyed) {
  /** Copies the variants and sorts them by name. */
  public PartQuery {
    variants = Collections.unmodifiableMap(new TreeMap<>(variants));
  }

  /** Whether both parts have the same key even if no rule is applied. */
  boolean sameAs(PartQuery other) {
    return shard == other.shard
        && queryClass.equals(other.queryClass)
        && tenant.equals(other.tenant)
        && text.equals(other.text)
        && variants.equals(other.variants);
  }
}

package dunlinhitch.answerkeys;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * One part of a query, as the client sent it.
 *
 * @param tenant empty if there is none
 * @param variants the attributes that the query class declares; an absent one counts as empty
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
  /** Copies the variants, in the order of their names. */
  public PartQuery {
    variants = Collections.unmodifiableMap(new TreeMap<>(variants));
  }

  /** Whether the two are identical without the application of any rule. */
  boolean sameAs(PartQuery other) {
    return shard == other.shard
        && queryClass.equals(other.queryClass)
        && tenant.equals(other.tenant)
        && text.equals(other.text)
        && variants.equals(other.variants);
  }
}

package dunlinhitch.answerkeys;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one part of a query asks, as it came. {@code tenant} is empty where there is none; {@code
 * variants} are the attributes that the class declares, an absent one counts as empty; {@code kind}
 * is the client kind that they fall into; {@code keyed}: the query carries an idempotency key.
 */
public record Ask(
    String queryClass,
    String tenant,
    int shard,
    String text,
    Map<String, String> variants,
    String kind,
    boolean keyed) {
  public Ask {
    variants = Collections.unmodifiableMap(new TreeMap<>(variants));
  }

  /** True where nothing tells the two apart, whatever any rule says. */
  boolean sameAs(Ask other) {
    return shard == other.shard
        && queryClass.equals(other.queryClass)
        && tenant.equals(other.tenant)
        && text.equals(other.text)
        && variants.equals(other.variants);
  }
}

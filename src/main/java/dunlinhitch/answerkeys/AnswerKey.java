package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The cache key of an answer: two parts with the same key share one answer.
 *
 * @param text the text as rewritten by the trusted rules
 * @param variants the attributes that remain after the trusted rules were applied
 * @param rules the fingerprint of the applied rules; it prevents a text sent by a client from
 *     matching an equal text that a withdrawn rule had produced
 * @param generation the latest data generation that a store of the shard reported, 0 if none was
 *     reported
 */
public record AnswerKey(
    String queryClass,
    String tenant,
    int shard,
    String text,
    Map<String, String> variants,
    String rules,
    long generation) {
  /** Copies the variants and sorts them by name. */
  public AnswerKey {
    variants = Collections.unmodifiableMap(new TreeMap<>(variants));
  }

  AnswerKey withGeneration(long newGeneration) {
    return new AnswerKey(queryClass, tenant, shard, text, variants, rules, newGeneration);
  }

  /**
   * The components of the key that determine its owner. The rules and the generation are excluded,
   * so that a change of them does not change the owner.
   */
  String[] ownershipComponents() {
    List<String> components =
        new ArrayList<>(List.of(queryClass, tenant, Integer.toString(shard), text));
    variants.forEach(
        (name, value) -> {
          components.add(name);
          components.add(value);
        });
    return components.toArray(String[]::new);
  }
}

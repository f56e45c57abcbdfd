package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The cache key of an answer: two parts with one key share one answer.
 *
 * @param text the text as the trusted rules rewrote it
 * @param variants the attributes that these rules left
 * @param rules names the rules that were applied: a text that one of them made must not match the
 *     same text of a client once that rule is withdrawn
 * @param generation the latest generation that a store of the shard stated, 0 before any did
 */
public record AnswerKey(
    String queryClass,
    String tenant,
    int shard,
    String text,
    Map<String, String> variants,
    String rules,
    long generation) {
  /** Copies the variants, in the order of their names. */
  public AnswerKey {
    variants = Collections.unmodifiableMap(new TreeMap<>(variants));
  }

  AnswerKey withGeneration(long newGeneration) {
    return new AnswerKey(queryClass, tenant, shard, text, variants, rules, newGeneration);
  }

  /**
   * What the owner of the key is found by. Neither rules nor generation are part of it, so that a
   * key stays with its owner when they change.
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

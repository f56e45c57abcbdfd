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
 * @param variants the attributes that remain after these rules
 * @param rules identifies the applied rules: once a rule is withdrawn, a text that it produced must
 *     not match the same text as sent by a client
 * @param generation the latest generation reported by a store of the shard, 0 if none was reported
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
   * The components that determine the owner of the key. They exclude rules and generation, so that
   * a key keeps its owner when these change.
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

package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What answers are shared by: two parts with one key have one answer. {@code text} is as the
 * trusted rules rewrote it, {@code variants} what they left of the attributes. {@code rules} names
 * the rules that were at work: a text that one of them made must not meet the same text that a
 * client wrote, once that rule is withdrawn. {@code generation} is the latest that a store of the
 * shard told, 0 before any did.
 */
public record AnswerKey(
    String queryClass,
    String tenant,
    int shard,
    String text,
    Map<String, String> variants,
    String rules,
    long generation) {
  public AnswerKey {
    variants = Collections.unmodifiableMap(new TreeMap<>(variants));
  }

  AnswerKey in(long generation) {
    return new AnswerKey(queryClass, tenant, shard, text, variants, rules, generation);
  }

  /**
   * What its home is found by. Neither rules nor generation: a key that outlives them stays at its
   * home.
   */
  String[] words() {
    List<String> words =
        new ArrayList<>(List.of(queryClass, tenant, Integer.toString(shard), text));
    variants.forEach(
        (name, value) -> {
          words.add(name);
          words.add(value);
        });
    return words.toArray(String[]::new);
  }
}

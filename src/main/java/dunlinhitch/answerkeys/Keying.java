package dunlinhitch.answerkeys;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * From asks to keys by what is known at present: the rules that are trusted, the attributes that a
 * store said its answers vary by (its word wins over every rule, for as long as this broker runs),
 * and the latest generation that a store of each shard told.
 */
final class Keying {
  /** Of shards whose generation is remembered. */
  private static final int MOST_SHARDS = 1 << 16;

  private final RuleSet rules;
  private final RuleLives lives;
  private final Map<String, Set<String>> varying = new HashMap<>();
  private final Map<Integer, Long> generations = new HashMap<>();
  private final Map<String, String> stamps = new HashMap<>();
  private long stampedAt = -1;

  Keying(RuleSet rules, RuleLives lives) {
    this.rules = rules;
    this.lives = lives;
  }

  boolean mayShare(Ask ask) {
    ClassKeys kind = rules.classKeys(ask.queryClass());
    return kind != null && kind.reusable() && !ask.keyed();
  }

  boolean trusted(Rule rule) {
    return lives.state(rule) == RuleState.TRUSTED;
  }

  /** By the trusted rules. */
  AnswerKey key(Ask ask) {
    return key(ask, this::trusted);
  }

  AnswerKey key(Ask ask, Predicate<Rule> atWork) {
    return rules.key(
        ask, atWork, varying(ask.queryClass()), stamp(ask.queryClass()), generation(ask.shard()));
  }

  private Set<String> varying(String queryClass) {
    return varying.getOrDefault(queryClass, Set.of());
  }

  /** Names what is at work in the class: keys that were made otherwise are other keys. */
  String stamp(String queryClass) {
    if (stampedAt != lives.changes()) {
      stamps.clear();
      stampedAt = lives.changes();
    }
    return stamps.computeIfAbsent(
        queryClass,
        name -> {
          StringBuilder stamp = new StringBuilder();
          rules.of(name).stream()
              .filter(this::trusted)
              .forEach(
                  rule -> stamp.append(rule.name()).append('@').append(rule.epoch()).append(' '));
          varying(name).forEach(attribute -> stamp.append('~').append(attribute).append(' '));
          return stamp.toString();
        });
  }

  long generation(int shard) {
    return generations.getOrDefault(shard, 0L);
  }

  void told(int shard, long generation) {
    if (generation > 0 && (generations.containsKey(shard) || generations.size() < MOST_SHARDS)) {
      generations.merge(shard, generation, Math::max);
    }
  }

  /** A store's word; true where it is new. */
  boolean varies(String queryClass, Collection<String> attributes) {
    Set<String> declared = new TreeSet<>(attributes);
    declared.retainAll(rules.classKeys(queryClass).attributes());
    boolean isNew =
        !declared.isEmpty()
            && varying.computeIfAbsent(queryClass, name -> new TreeSet<>()).addAll(declared);
    if (isNew) {
      stamps.clear();
    }
    return isNew;
  }

  /** The class can tell by its attributes all that the answer varies by. */
  boolean canTell(String queryClass, Set<String> varies) {
    return rules.classKeys(queryClass).attributes().containsAll(varies);
  }

  /** True where the two are equal in these attributes, as they came. */
  static boolean sameIn(Ask one, Ask other, Set<String> attributes) {
    Map<String, String> a = new TreeMap<>(one.variants());
    Map<String, String> b = new TreeMap<>(other.variants());
    a.keySet().retainAll(attributes);
    b.keySet().retainAll(attributes);
    return a.equals(b);
  }
}

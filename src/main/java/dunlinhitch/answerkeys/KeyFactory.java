package dunlinhitch.answerkeys;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Builds the key of a part. The key depends on the trusted rules, on the latest data generation
 * that a store of the shard reported, and on the attributes by which stores have declared their
 * answers to vary. Until the broker restarts, such a declared attribute is part of the keys even if
 * a rule would drop or fold it.
 */
final class KeyFactory {
  /** The maximum number of shards whose data generation is stored. */
  private static final int MAX_SHARDS = 1 << 16;

  private final RuleSet rules;
  private final RuleLifecycle lifecycle;
  private final Map<String, Set<String>> varyingAttributes = new HashMap<>();
  private final Map<Integer, Long> generations = new HashMap<>();
  private final Map<String, String> fingerprints = new HashMap<>();

  /** The value of {@link RuleLifecycle#changes} for which the fingerprints were computed. */
  private long fingerprintedChanges = -1;

  KeyFactory(RuleSet rules, RuleLifecycle lifecycle) {
    this.rules = rules;
    this.lifecycle = lifecycle;
  }

  boolean isShareable(PartQuery part) {
    ClassCachePolicy policy = rules.classPolicy(part.queryClass());
    return policy != null && policy.reusable() && !part.idempotencyKeyed();
  }

  boolean isTrusted(Rule rule) {
    return lifecycle.state(rule) == RuleState.TRUSTED;
  }

  /** Builds the key with the trusted rules. */
  AnswerKey keyFor(PartQuery part) {
    return keyFor(part, this::isTrusted);
  }

  AnswerKey keyFor(PartQuery part, Predicate<Rule> applied) {
    return rules.key(
        part,
        applied,
        varyingAttributes(part.queryClass()),
        ruleFingerprint(part.queryClass()),
        generation(part.shard()));
  }

  private Set<String> varyingAttributes(String queryClass) {
    return varyingAttributes.getOrDefault(queryClass, Set.of());
  }

  /**
   * Returns a fingerprint of the rules and varying attributes that apply to the class. Keys include
   * this fingerprint.
   */
  String ruleFingerprint(String queryClass) {
    if (fingerprintedChanges != lifecycle.changes()) {
      fingerprints.clear();
      fingerprintedChanges = lifecycle.changes();
    }
    return fingerprints.computeIfAbsent(queryClass, this::computeFingerprint);
  }

  private String computeFingerprint(String queryClass) {
    StringBuilder fingerprint = new StringBuilder();
    rules.rulesOf(queryClass).stream()
        .filter(this::isTrusted)
        .forEach(
            rule -> fingerprint.append(rule.name()).append('@').append(rule.epoch()).append(' '));
    varyingAttributes(queryClass)
        .forEach(attribute -> fingerprint.append('~').append(attribute).append(' '));
    return fingerprint.toString();
  }

  private long generation(int shard) {
    return generations.getOrDefault(shard, 0L);
  }

  /** Records the data generation that a store reported; 0 means that it reports none. */
  void recordGeneration(int shard, long generation) {
    if (generation > 0 && (generations.containsKey(shard) || generations.size() < MAX_SHARDS)) {
      generations.merge(shard, generation, Math::max);
    }
  }

  /** Records the attributes by which a store's answers vary; returns true if one of them is new. */
  boolean recordVaryingAttributes(String queryClass, Collection<String> attributes) {
    Set<String> declared = new TreeSet<>(attributes);
    declared.retainAll(rules.classPolicy(queryClass).attributes());
    boolean isNew =
        !declared.isEmpty()
            && varyingAttributes
                .computeIfAbsent(queryClass, name -> new TreeSet<>())
                .addAll(declared);
    if (isNew) {
      fingerprints.clear();
    }
    return isNew;
  }

  /** Whether the class declares all attributes by which the answer varies. */
  boolean declaresAll(String queryClass, Set<String> varies) {
    return rules.classPolicy(queryClass).attributes().containsAll(varies);
  }

  /** Whether the two parts, as sent by the clients, are equal in the given attributes. */
  static boolean equalIn(PartQuery one, PartQuery other, Set<String> attributes) {
    Map<String, String> ofOne = new TreeMap<>(one.variants());
    Map<String, String> ofOther = new TreeMap<>(other.variants());
    ofOne.keySet().retainAll(attributes);
    ofOther.keySet().retainAll(attributes);
    return ofOne.equals(ofOther);
  }
}

package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Compares answers to test the rules, without sending additional requests to stores. A rule in the
 * state {@link RuleState#TRIED} is tested individually, together with the trusted rules, so that a
 * pair of unequal answers can be attributed to it. The trusted rules are tested together, and a
 * pair of unequal answers is attributed to the rules that are necessary for the two parts to share
 * a key.
 */
final class ShadowComparison {
  /**
   * The maximum number of samples per key. Each sample is for a different part, as sent by a
   * client.
   */
  private static final int MAX_SAMPLES = 4;

  /** The maximum age of a compared sample, as a multiple of the maximum age of a reused answer. */
  private static final int SAMPLE_AGE_FACTOR = 2;

  /**
   * The key of a comparison. The component {@code rule} is the name of the tested rule, or null if
   * only trusted rules are applied.
   */
  private record ComparisonKey(String rule, AnswerKey key) {}

  /**
   * Two unequal answers of one store that reports no generation. The next answer for the part of
   * the first answer shows whether the data changed or the rule is false.
   */
  private record AmbiguousPair(AnswerSample first, AnswerSample second) {}

  private final RuleSet rules;
  private final RuleLifecycle lifecycle;
  private final KeyFactory keys;
  private final RuleAttribution attribution;
  private final AnswerKeySettings settings;
  private final Cache<ComparisonKey, List<AnswerSample>> samples;
  private final Map<String, AmbiguousPair> ambiguousPairs = new HashMap<>();
  private long compared;
  private long unequal;

  ShadowComparison(
      RuleSet rules, RuleLifecycle lifecycle, KeyFactory keys, AnswerKeySettings settings) {
    this.rules = rules;
    this.lifecycle = lifecycle;
    this.keys = keys;
    this.settings = settings;
    attribution = new RuleAttribution(keys);
    samples = new LruCache<>(settings.limits().cacheBytes());
  }

  /** The number of pairs compared. */
  long compared() {
    return compared;
  }

  /** The number of compared pairs that were not equal. */
  long unequal() {
    return unequal;
  }

  /** Records a complete answer of a store and compares it with earlier answers. */
  void record(long nowUs, CachedAnswer cached) {
    PartQuery part = cached.fetchedFor();
    List<Rule> ofClass = rules.rulesOf(part.queryClass());
    if (ofClass.isEmpty()) {
      return;
    }
    AnswerSample sample = AnswerSample.of(cached);
    resolveAmbiguousPairs(nowUs, sample);
    AnswerKey trustedKey = keys.keyFor(part);
    for (Rule rule : ofClass) {
      evaluateUntrusted(nowUs, rule, sample, trustedKey);
    }
    List<Rule> trusted = ofClass.stream().filter(keys::isTrusted).toList();
    if (!trusted.isEmpty()) {
      compare(nowUs, new ComparisonKey(null, keys.keyFor(part)), sample, trusted);
    }
  }

  private void evaluateUntrusted(long nowUs, Rule rule, AnswerSample sample, AnswerKey trustedKey) {
    RuleState state = lifecycle.state(rule);
    if (state != RuleState.PROPOSED && state != RuleState.TRIED) {
      return;
    }
    AnswerKey keyWithRule =
        keys.keyFor(sample.part(), other -> keys.isTrusted(other) || other.equals(rule));
    if (state == RuleState.TRIED) {
      compare(nowUs, new ComparisonKey(rule.name(), keyWithRule), sample, List.of(rule));
    } else if (!keyWithRule.equals(trustedKey)) {
      lifecycle.recordProposal(nowUs, rule);
    }
  }

  private void compare(
      long nowUs, ComparisonKey comparisonKey, AnswerSample current, List<Rule> tested) {
    long oldestUs =
        nowUs - SAMPLE_AGE_FACTOR * rules.classPolicy(current.part().queryClass()).maxAgeUs();
    List<AnswerSample> retained = new ArrayList<>();
    List<AnswerSample> earlier = samples.get(comparisonKey);
    for (AnswerSample other : earlier == null ? List.<AnswerSample>of() : earlier) {
      if (other.requestedUs() < oldestUs || other.part().sameAs(current.part())) {
        continue;
      }
      retained.add(other);
      comparePair(nowUs, other, current, tested);
    }
    while (retained.size() >= MAX_SAMPLES) {
      retained.remove(0);
    }
    retained.add(current);
    samples.put(comparisonKey, retained, retained.stream().mapToLong(AnswerSample::bytes).sum());
  }

  private void comparePair(
      long nowUs, AnswerSample other, AnswerSample current, List<Rule> tested) {
    List<Rule> responsible = attribution.responsible(current.part(), other.part(), tested);
    if (responsible.isEmpty()) {
      // No tested rule is responsible for the shared key.
      return;
    }
    if (current.digest() == other.digest()) {
      compared++;
      recordEqual(nowUs, other, current, responsible);
    } else if (current.sameGeneration(other)) {
      compared++;
      unequal++;
      String reason = unequalReason(other, current);
      responsible.forEach(rule -> lifecycle.withdraw(nowUs, rule, reason));
    } else if (current.likelySameData(other, settings.changeWindowUs())) {
      compared++;
      unequal++;
      responsible.forEach(
          rule -> {
            ambiguousPairs.putIfAbsent(rule.name(), new AmbiguousPair(other, current));
            lifecycle.suspect(nowUs, rule);
          });
    }
  }

  private void recordEqual(
      long nowUs, AnswerSample other, AnswerSample current, List<Rule> responsible) {
    Set<String> clientKinds = new TreeSet<>(Set.of(current.part().clientKind()));
    clientKinds.add(other.part().clientKind());
    responsible.forEach(
        rule -> lifecycle.recordEqualPair(nowUs, rule, current.part().shard(), clientKinds));
  }

  private static String unequalReason(AnswerSample other, AnswerSample current) {
    return "shard "
        + current.part().shard()
        + " generation "
        + current.generation()
        + " answered "
        + other.part().clientKind()
        + " and "
        + current.part().clientKind()
        + " unlike";
  }

  private void resolveAmbiguousPairs(long nowUs, AnswerSample current) {
    for (Rule rule : rules.rulesOf(current.part().queryClass())) {
      AmbiguousPair pair = ambiguousPairs.get(rule.name());
      if (pair == null) {
        continue;
      }
      if (lifecycle.state(rule) == RuleState.WITHDRAWN) {
        ambiguousPairs.remove(rule.name());
      } else if (repeatsFirst(pair, current)) {
        resolve(nowUs, rule, pair, current);
      }
    }
  }

  /**
   * Whether the sample is a later answer of the same store for the part of the pair's first answer.
   */
  private static boolean repeatsFirst(AmbiguousPair pair, AnswerSample current) {
    return current.part().sameAs(pair.first().part())
        && current.sameStore(pair.first())
        && current.requestedUs() > pair.second().requestedUs();
  }

  /**
   * Resolves an ambiguous pair with a new answer for the part of the first answer. If the new
   * answer is equal to the first one, the data did not change, so the rule is false. If it is equal
   * to the second one, the data changed, and the suspicion is cleared.
   */
  private void resolve(long nowUs, Rule rule, AmbiguousPair pair, AnswerSample current) {
    if (current.digest() == pair.first().digest()) {
      lifecycle.withdraw(nowUs, rule, falseRuleReason(pair, current));
      ambiguousPairs.remove(rule.name());
    } else if (current.digest() == pair.second().digest()) {
      lifecycle.clearSuspicion(nowUs, rule);
      ambiguousPairs.remove(rule.name());
    }
  }

  private static String falseRuleReason(AmbiguousPair pair, AnswerSample current) {
    return "shard "
        + current.part().shard()
        + " of store "
        + current.store()
        + " answered "
        + pair.first().part().clientKind()
        + " twice alike and "
        + pair.second().part().clientKind()
        + " between them unlike";
  }
}

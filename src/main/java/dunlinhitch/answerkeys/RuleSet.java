package dunlinhitch.answerkeys;

import dunlinhitch.answerkeys.KeysException.Code;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The rules of all query classes, in the configured order. The rules are validated when the set is
 * created. Immutable and therefore thread-safe.
 */
public final class RuleSet {
  private final Map<String, ClassCachePolicy> classes = new LinkedHashMap<>();
  private final Map<String, Rule> rules = new LinkedHashMap<>();
  private final Map<String, ClassRules> byClass = new HashMap<>();

  /**
   * Checks the rules.
   *
   * @throws KeysException if a rule cannot be used
   */
  public RuleSet(Collection<ClassCachePolicy> classes, List<Rule> rules) {
    classes.forEach(policy -> this.classes.put(policy.name(), policy));
    Map<String, List<Rule>> rulesByClass = new HashMap<>();
    for (Rule rule : rules) {
      if (this.rules.put(rule.name(), rule) != null) {
        throw new KeysException(
            Code.NAME_TWICE,
            rule.location(),
            "there is another rule named " + rule.name(),
            "give each rule a unique name");
      }
      requireReusableClass(rule);
      rulesByClass.computeIfAbsent(rule.queryClass(), name -> new ArrayList<>()).add(rule);
    }
    rulesByClass.forEach(
        (name, ofClass) -> byClass.put(name, new ClassRules(this.classes.get(name), ofClass)));
    this.classes.forEach(
        (name, policy) ->
            byClass.computeIfAbsent(name, missing -> new ClassRules(policy, List.of())));
  }

  private void requireReusableClass(Rule rule) {
    ClassCachePolicy policy = classes.get(rule.queryClass());
    if (policy == null) {
      throw new KeysException(
          Code.NO_CLASS,
          rule.location(),
          "there is no query class " + rule.queryClass(),
          "use one of " + classes.keySet());
    }
    if (!policy.reusable()) {
      throw new KeysException(
          Code.MAY_NOT_REUSE,
          rule.location(),
          "answers of query class "
              + policy.name()
              + " may not be reused: its parts carry an idempotency key or must not run twice",
          "remove the rule, because answers of this class are never shared");
    }
  }

  /** The policy of the query class, or null if the class has none. */
  public ClassCachePolicy classPolicy(String name) {
    return classes.get(name);
  }

  /** All rules, in the configured order. */
  public Collection<Rule> rules() {
    return List.copyOf(rules.values());
  }

  List<Rule> rulesOf(String queryClass) {
    ClassRules ofClass = byClass.get(queryClass);
    return ofClass == null ? List.of() : ofClass.rules();
  }

  /**
   * Builds the key of the part. Applies only the rules that {@code applied} selects.
   *
   * @param varying the attributes to which no rules are applied, so that they keep the value that
   *     the client sent
   */
  AnswerKey key(
      PartQuery part,
      Predicate<Rule> applied,
      Set<String> varying,
      String fingerprint,
      long generation) {
    return byClass.get(part.queryClass()).key(part, applied, varying, fingerprint, generation);
  }

  /** Returns the canonical form of the text under the given rewrites. */
  String canonicalText(String queryClass, String text, List<Rewrite> rewrites) {
    return byClass.get(queryClass).canonicalText(text, rewrites);
  }
}

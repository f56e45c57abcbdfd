package dunlinhitch.answerkeys;

import dunlinhitch.answerkeys.KeysException.Code;
import dunlinhitch.answerkeys.Rewrite.AcrossTenants;
import dunlinhitch.answerkeys.Rewrite.DropTerms;
import dunlinhitch.answerkeys.Rewrite.DropVariant;
import dunlinhitch.answerkeys.Rewrite.FoldCase;
import dunlinhitch.answerkeys.Rewrite.FoldVariant;
import dunlinhitch.answerkeys.Rewrite.SortTerms;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The validated rules of one query class. Builds the keys of the class's parts. */
final class ClassRules {
  private final ClassCachePolicy policy;
  private final List<Rule> rules;

  /**
   * For each rewrite that folds values, the resolved group of each value that the rewrite names.
   */
  private final Map<FoldVariant, Map<String, String>> resolvedFolds = new HashMap<>();

  /** The separator between the terms of a text; null if no rule of the class rewrites terms. */
  private Character separator;

  /**
   * Checks the rules.
   *
   * @throws KeysException if a rule cannot be used
   */
  ClassRules(ClassCachePolicy policy, List<Rule> rules) {
    this.policy = policy;
    this.rules = rules;
    Set<String> rewrittenAttributes = new HashSet<>();
    boolean caseFolded = false;
    for (Rule rule : rules) {
      if (rule.rewrites().isEmpty()) {
        throw new KeysException(
            Code.NEVER_ACTS,
            rule.location(),
            rule.name() + " has no rewrites",
            "add at least one rewrite that folds, sorts or drops something");
      }
      for (Rewrite rewrite : rule.rewrites()) {
        check(rule, rewrite, rewrittenAttributes, caseFolded);
        caseFolded |= rewrite instanceof FoldCase;
      }
    }
  }

  private void check(
      Rule rule, Rewrite rewrite, Set<String> rewrittenAttributes, boolean caseFolded) {
    if (rewrite instanceof DropVariant drop) {
      checkAttribute(rule, drop.attribute(), rewrittenAttributes);
    } else if (rewrite instanceof FoldVariant fold) {
      checkAttribute(rule, fold.attribute(), rewrittenAttributes);
      resolvedFolds.put(fold, resolve(rule, fold));
    } else if (rewrite instanceof SortTerms sort) {
      checkSeparator(rule, sort.separator());
    } else if (rewrite instanceof DropTerms drop) {
      checkSeparator(rule, drop.separator());
      checkTerms(rule, drop, caseFolded);
    }
  }

  /**
   * Checks that each attribute has at most one rewrite. Two rewrites could undo each other, and a
   * pair of unequal answers would not show which rewrite is false.
   */
  private void checkAttribute(Rule rule, String attribute, Set<String> rewrittenAttributes) {
    if (!policy.attributes().contains(attribute)) {
      throw new KeysException(
          Code.NO_ATTRIBUTE,
          rule.location(),
          policy.name() + " declares no attribute " + attribute,
          "use one of " + policy.attributes());
    }
    if (!rewrittenAttributes.add(attribute)) {
      throw new KeysException(
          Code.ATTRIBUTE_TWICE,
          rule.location(),
          "query class " + policy.name() + " already has a rewrite of attribute " + attribute,
          "remove one of the two rewrites");
    }
  }

  private void checkSeparator(Rule rule, char candidate) {
    boolean otherBlank = CanonicalText.isBlank(candidate) && candidate != ' ';
    if (Character.isLetterOrDigit(candidate)
        || Character.isSurrogate(candidate)
        || Character.toLowerCase(candidate) != candidate
        || otherBlank) {
      throw new KeysException(
          Code.SEPARATOR,
          rule.location(),
          "terms cannot be separated by '" + candidate + "'",
          "use a space, or a character other than a letter, a digit or white space");
    }
    if (separator != null && separator != candidate) {
      throw new KeysException(
          Code.SEPARATOR,
          rule.location(),
          "terms of query class "
              + policy.name()
              + " are separated by '"
              + separator
              + "' in another rewrite and by '"
              + candidate
              + "' in this one, so the two rewrites could undo each other",
          "use the same separator in all rewrites of the class");
    }
    separator = candidate;
  }

  private static void checkTerms(Rule rule, DropTerms drop, boolean caseFolded) {
    for (String term : drop.terms()) {
      String reason = reasonNeverDropped(term, drop.separator(), caseFolded);
      if (reason != null) {
        throw new KeysException(
            Code.NEVER_ACTS,
            rule.location(),
            "term '" + term + "' is never dropped: " + reason,
            "write the term in the form that the text has before this rewrite");
      }
    }
  }

  /**
   * Returns the reason why no text can contain the term when this rewrite is applied, or null if a
   * text may contain it.
   */
  private static String reasonNeverDropped(String term, char separator, boolean caseFolded) {
    if (term.isEmpty() || term.indexOf(separator) >= 0) {
      return "it is empty or contains the separator '" + separator + "'";
    }
    return caseFolded && !CanonicalText.lowerCase(term).equals(term)
        ? "it is not in lower case, but an earlier rewrite folds case"
        : null;
  }

  /**
   * Maps each value to its final group by following chains of groups that are mapped to other
   * groups.
   */
  private static Map<String, String> resolve(Rule rule, FoldVariant fold) {
    Map<String, String> lastGroups = new TreeMap<>();
    Set<String> values = new HashSet<>(fold.groups().keySet());
    values.addAll(fold.groups().values());
    values.add(fold.otherwise());
    for (String value : values) {
      lastGroups.put(value, lastGroup(rule, fold, value));
    }
    // An absent attribute is treated like a value that the rewrite does not name.
    lastGroups.putIfAbsent("", lastGroups.get(fold.otherwise()));
    return lastGroups;
  }

  private static String lastGroup(Rule rule, FoldVariant fold, String value) {
    String group = value;
    Set<String> visited = new HashSet<>();
    while (fold.groups().containsKey(group) && !fold.groups().get(group).equals(group)) {
      if (!visited.add(group)) {
        throw new KeysException(
            Code.CYCLE,
            rule.location(),
            "values of attribute "
                + fold.attribute()
                + " are grouped in a cycle: "
                + String.join(", ", visited),
            "map all of them to the same group");
      }
      group = fold.groups().get(group);
    }
    return group;
  }

  List<Rule> rules() {
    return rules;
  }

  /** See {@link RuleSet#key}. */
  AnswerKey key(
      PartQuery part,
      Predicate<Rule> applied,
      Set<String> varying,
      String fingerprint,
      long generation) {
    List<Rewrite> rewrites =
        rules.stream().filter(applied).flatMap(rule -> rule.rewrites().stream()).toList();
    String tenant = part.tenant();
    Map<String, String> variants = new TreeMap<>();
    policy.attributes().forEach(name -> variants.put(name, part.variants().getOrDefault(name, "")));
    for (Rewrite rewrite : rewrites) {
      if (rewrite instanceof DropVariant drop && !varying.contains(drop.attribute())) {
        variants.remove(drop.attribute());
      } else if (rewrite instanceof FoldVariant fold && !varying.contains(fold.attribute())) {
        variants.compute(fold.attribute(), (name, value) -> groupOf(fold, value));
      } else if (rewrite instanceof AcrossTenants) {
        tenant = "";
      }
    }
    return new AnswerKey(
        part.queryClass(),
        tenant,
        part.shard(),
        canonicalText(part.text(), rewrites),
        variants,
        fingerprint,
        generation);
  }

  private String groupOf(FoldVariant fold, String value) {
    Map<String, String> lastGroups = resolvedFolds.get(fold);
    if (lastGroups.containsKey(value)) {
      return lastGroups.get(value);
    }
    return fold.otherwise().isEmpty() ? value : lastGroups.get(fold.otherwise());
  }

  String canonicalText(String text, List<Rewrite> rewrites) {
    return CanonicalText.of(text, rewrites, separator);
  }
}

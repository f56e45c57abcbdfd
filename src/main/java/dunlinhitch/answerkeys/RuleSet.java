package dunlinhitch.answerkeys;

import dunlinhitch.answerkeys.KeysException.Code;
import dunlinhitch.answerkeys.Rewrite.AcrossTenants;
import dunlinhitch.answerkeys.Rewrite.DropTerms;
import dunlinhitch.answerkeys.Rewrite.DropVariant;
import dunlinhitch.answerkeys.Rewrite.FoldCase;
import dunlinhitch.answerkeys.Rewrite.FoldSpaces;
import dunlinhitch.answerkeys.Rewrite.FoldVariant;
import dunlinhitch.answerkeys.Rewrite.SortTerms;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The rules of all classes in their order, checked when made. Whichever of them are at work, each
 * text reaches its one fixed point within {@link #MOST_PASSES} passes: after the first, case and
 * blanks are folded for good; the second drops and sorts terms that no later one changes.
 */
public final class RuleSet {
  /** Two that may change something, and one that finds nothing more to do. */
  static final int MOST_PASSES = 3;

  private final Map<String, ClassKeys> classes = new LinkedHashMap<>();
  private final Map<String, Rule> rules = new LinkedHashMap<>();
  private final Map<String, List<Rule>> byClass = new HashMap<>();
  private final Map<String, Character> separators = new HashMap<>();
  private final Map<FoldVariant, Map<String, String>> folds = new HashMap<>();

  /** Throws a {@link KeysException} where a rule can not be used. */
  public RuleSet(Collection<ClassKeys> classes, List<Rule> rules) {
    classes.forEach(kind -> this.classes.put(kind.name(), kind));
    for (Rule rule : rules) {
      if (this.rules.put(rule.name(), rule) != null) {
        throw new KeysException(
            Code.NAME_TWICE,
            rule.place(),
            "there is another rule " + rule.name(),
            "give each its own name");
      }
      ClassKeys kind = this.classes.get(rule.queryClass());
      if (kind == null) {
        throw new KeysException(
            Code.NO_CLASS,
            rule.place(),
            "no class " + rule.queryClass(),
            "name one of " + this.classes.keySet());
      }
      if (!kind.reusable()) {
        throw new KeysException(
            Code.MAY_NOT_REUSE,
            rule.place(),
            "parts of " + kind.name() + " may not run twice or carry a key",
            "take the rule out: answers of that class are never shared");
      }
      byClass.computeIfAbsent(rule.queryClass(), name -> new ArrayList<>()).add(rule);
    }
    byClass.forEach((name, ofClass) -> check(this.classes.get(name), ofClass));
  }

  private void check(ClassKeys kind, List<Rule> ofClass) {
    Set<String> attributes = new HashSet<>();
    boolean folded = false;
    for (Rule rule : ofClass) {
      if (rule.rewrites().isEmpty()) {
        throw new KeysException(
            Code.NEVER_ACTS,
            rule.place(),
            rule.name() + " rewrites nothing",
            "say what it is to fold or drop");
      }
      for (Rewrite rewrite : rule.rewrites()) {
        if (rewrite instanceof DropVariant drop) {
          checkAttribute(kind, rule, drop.attribute(), attributes);
        } else if (rewrite instanceof FoldVariant fold) {
          checkAttribute(kind, rule, fold.attribute(), attributes);
          folds.put(fold, resolve(rule, fold));
        } else if (rewrite instanceof SortTerms sort) {
          checkSeparator(kind, rule, sort.separator());
        } else if (rewrite instanceof DropTerms drop) {
          checkSeparator(kind, rule, drop.separator());
          checkTerms(rule, drop, folded);
        } else if (rewrite instanceof FoldCase) {
          folded = true;
        }
      }
    }
  }

  /**
   * One rule an attribute: two could undo each other, and which of them is false could not be told.
   */
  private static void checkAttribute(
      ClassKeys kind, Rule rule, String attribute, Set<String> before) {
    if (!kind.attributes().contains(attribute)) {
      throw new KeysException(
          Code.NO_ATTRIBUTE,
          rule.place(),
          kind.name() + " has no attribute " + attribute,
          "name one of " + kind.attributes());
    }
    if (!before.add(attribute)) {
      throw new KeysException(
          Code.ATTRIBUTE_TWICE,
          rule.place(),
          "another rewrite of " + kind.name() + " is about " + attribute,
          "leave one of them");
    }
  }

  private void checkSeparator(ClassKeys kind, Rule rule, char separator) {
    boolean blank = isBlank(separator) && separator != ' ';
    if (Character.isLetterOrDigit(separator)
        || Character.isSurrogate(separator)
        || Character.toLowerCase(separator) != separator
        || blank) {
      throw new KeysException(
          Code.SEPARATOR,
          rule.place(),
          "terms can not be parted by '" + separator + "'",
          "give a mark that is no letter or digit, or a space");
    }
    Character before = separators.putIfAbsent(kind.name(), separator);
    if (before != null && before != separator) {
      throw new KeysException(
          Code.SEPARATOR,
          rule.place(),
          "terms of "
              + kind.name()
              + " are parted by '"
              + before
              + "' in another rewrite, and by '"
              + separator
              + "' here: they could undo each other",
          "use one for the class");
    }
  }

  private static void checkTerms(Rule rule, DropTerms drop, boolean folded) {
    for (String term : drop.terms()) {
      String why =
          term.isEmpty() || term.indexOf(drop.separator()) >= 0
              ? "no text has a term like that"
              : folded && !lower(term).equals(term) ? "case is folded before it" : null;
      if (why != null) {
        throw new KeysException(
            Code.NEVER_ACTS,
            rule.place(),
            "term '" + term + "' is never dropped: " + why,
            "write it as it stands in the text at that point");
      }
    }
  }

  /** Follows each value to the kind in which it ends. */
  private static Map<String, String> resolve(Rule rule, FoldVariant fold) {
    Map<String, String> ends = new TreeMap<>();
    Set<String> values = new HashSet<>(fold.kinds().keySet());
    values.addAll(fold.kinds().values());
    values.add(fold.otherwise());
    for (String value : values) {
      String at = value;
      Set<String> seen = new HashSet<>();
      while (fold.kinds().containsKey(at) && !fold.kinds().get(at).equals(at)) {
        if (!seen.add(at)) {
          throw new KeysException(
              Code.CYCLE,
              rule.place(),
              "values of " + fold.attribute() + " fall round in a ring: " + String.join(", ", seen),
              "let one of them stand for all");
        }
        at = fold.kinds().get(at);
      }
      ends.put(value, at);
    }
    ends.putIfAbsent(
        "", ends.get(fold.otherwise())); // an absent one is none of those that are named
    return ends;
  }

  /** The class's part in this, or null where it has none. */
  public ClassKeys classKeys(String name) {
    return classes.get(name);
  }

  public Collection<Rule> rules() {
    return List.copyOf(rules.values());
  }

  List<Rule> of(String queryClass) {
    return byClass.getOrDefault(queryClass, List.of());
  }

  /**
   * The key of the ask by those rules that are at work; attributes in {@code varying} stay as they
   * came, whatever the rules say.
   */
  AnswerKey key(
      Ask ask, Predicate<Rule> atWork, Set<String> varying, String stamp, long generation) {
    ClassKeys kind = classes.get(ask.queryClass());
    List<Rewrite> rewrites =
        of(ask.queryClass()).stream()
            .filter(atWork)
            .flatMap(rule -> rule.rewrites().stream())
            .toList();
    String tenant = ask.tenant();
    Map<String, String> variants = new TreeMap<>();
    kind.attributes().forEach(name -> variants.put(name, ask.variants().getOrDefault(name, "")));
    for (Rewrite rewrite : rewrites) {
      if (rewrite instanceof DropVariant drop && !varying.contains(drop.attribute())) {
        variants.remove(drop.attribute());
      } else if (rewrite instanceof FoldVariant fold && !varying.contains(fold.attribute())) {
        variants.compute(fold.attribute(), (name, value) -> folded(fold, value));
      } else if (rewrite instanceof AcrossTenants) {
        tenant = "";
      }
    }
    return new AnswerKey(
        ask.queryClass(),
        tenant,
        ask.shard(),
        text(ask.queryClass(), ask.text(), rewrites),
        variants,
        stamp,
        generation);
  }

  private String folded(FoldVariant fold, String value) {
    Map<String, String> ends = folds.get(fold);
    return ends.containsKey(value)
        ? ends.get(value)
        : fold.otherwise().isEmpty() ? value : ends.get(fold.otherwise());
  }

  /** The one fixed point of the text. */
  String text(String queryClass, String text, List<Rewrite> rewrites) {
    String now = text;
    for (int pass = 0; pass < MOST_PASSES; pass++) {
      String before = now;
      for (Rewrite rewrite : rewrites) {
        now = once(now, rewrite, separators.get(queryClass));
      }
      if (now.equals(before)) {
        return now;
      }
    }
    throw new IllegalStateException("no fixed point after " + MOST_PASSES + " passes: " + rewrites);
  }

  private static String once(String text, Rewrite rewrite, Character separator) {
    if (rewrite instanceof FoldCase) {
      return lower(text);
    } else if (rewrite instanceof FoldSpaces) {
      return spaced(text, separator);
    } else if (rewrite instanceof SortTerms sort) {
      String[] terms = terms(text, sort.separator());
      Arrays.sort(terms);
      return String.join(String.valueOf(sort.separator()), terms);
    } else if (rewrite instanceof DropTerms drop) {
      return Arrays.stream(terms(text, drop.separator()))
          .filter(term -> !drop.terms().contains(term))
          .collect(Collectors.joining(String.valueOf(drop.separator())));
    }
    return text; // it is about attributes or the tenant
  }

  private static String[] terms(String text, char separator) {
    return text.split(Pattern.quote(String.valueOf(separator)), -1);
  }

  /** Letter by letter: what a letter becomes must not hang on its neighbours, for terms move. */
  private static String lower(String text) {
    StringBuilder lower = new StringBuilder(text.length());
    text.codePoints().map(Character::toLowerCase).forEach(lower::appendCodePoint);
    return lower.toString();
  }

  private static boolean isBlank(char c) {
    return Character.isWhitespace(c) || Character.isSpaceChar(c);
  }

  private static String spaced(String text, Character separator) {
    StringBuilder spaced = new StringBuilder(text.length());
    boolean blank = false;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (isBlank(c)) {
        blank = true;
        continue;
      }
      boolean atMark =
          separator != null
              && separator != ' '
              && (c == separator
                  || (spaced.length() > 0 && spaced.charAt(spaced.length() - 1) == separator));
      if (blank && spaced.length() > 0 && !atMark) {
        spaced.append(' ');
      }
      blank = false;
      spaced.append(c);
    }
    return spaced.toString();
  }
}

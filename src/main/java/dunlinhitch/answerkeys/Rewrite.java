package dunlinhitch.answerkeys;

import java.util.Map;
import java.util.Set;

/** One step by which a rule brings a query into its canonical form. */
public sealed interface Rewrite {
  /** Drops the attribute, because answers do not depend on it. */
  record DropVariant(String attribute) implements Rewrite {}

  /**
   * Maps values of the attribute to groups.
   *
   * @param groups the group of each value; a group may belong to another one
   * @param otherwise the group of all values that {@code groups} does not name; if empty, these
   *     values are not changed
   */
  record FoldVariant(String attribute, Map<String, String> groups, String otherwise)
      implements Rewrite {
    /** Copies the groups. */
    public FoldVariant {
      groups = Map.copyOf(groups);
    }
  }

  /** Folds upper and lower case. */
  record FoldCase() implements Rewrite {}

  /**
   * Replaces each sequence of white space by one space, and removes white space at both ends and
   * next to separators of terms.
   */
  record FoldSpaces() implements Rewrite {}

  /** Sorts the terms, because answers do not depend on their order. */
  record SortTerms(char separator) implements Rewrite {}

  /** Drops the given terms, because answers do not depend on them. */
  record DropTerms(char separator, Set<String> terms) implements Rewrite {
    /** Copies the terms. */
    public DropTerms {
      terms = Set.copyOf(terms);
    }
  }

  /** Drops the tenant, because answers do not depend on it. */
  record AcrossTenants() implements Rewrite {}
}

package dunlinhitch.answerkeys;

import java.util.Map;
import java.util.Set;

/** One step by which a rule brings a query into its canonical form. */
public sealed interface Rewrite {
  /** Drops the attribute, on which answers do not depend. */
  record DropVariant(String attribute) implements Rewrite {}

  /**
   * Maps values of the attribute to groups.
   *
   * @param groups the group of each value; a group may belong to another one
   * @param otherwise the group of values that are not named; empty leaves them as they are
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

  /** Folds white space to one space, and removes it at the ends and beside separators of terms. */
  record FoldSpaces() implements Rewrite {}

  /** Sorts the terms, whose order does not matter. */
  record SortTerms(char separator) implements Rewrite {}

  /** Drops the given terms, on which answers do not depend. */
  record DropTerms(char separator, Set<String> terms) implements Rewrite {
    /** Copies the terms. */
    public DropTerms {
      terms = Set.copyOf(terms);
    }
  }

  /** Drops the tenant, on which answers do not depend. */
  record AcrossTenants() implements Rewrite {}
}

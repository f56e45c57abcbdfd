package dunlinhitch.answerkeys;

import java.util.Map;
import java.util.Set;

/** One step by which a rule brings a query into its canonical form. */
public sealed interface Rewrite {
  /** Answers do not depend on the attribute. */
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

  /** Upper and lower case are equal. */
  record FoldCase() implements Rewrite {}

  /** Any white space is one space, and none at the ends or beside a separator of terms. */
  record FoldSpaces() implements Rewrite {}

  /** The order of the terms does not matter. */
  record SortTerms(char separator) implements Rewrite {}

  /** Answers do not depend on these terms. */
  record DropTerms(char separator, Set<String> terms) implements Rewrite {
    /** Copies the terms. */
    public DropTerms {
      terms = Set.copyOf(terms);
    }
  }

  /** Answers do not depend on the tenant. */
  record AcrossTenants() implements Rewrite {}
}

package dunlinhitch.answerkeys;

import java.util.Map;
import java.util.Set;

/** One thing that a rule does to a key. */
public sealed interface Rewrite {
  /** The attribute does not matter. */
  record DropVariant(String attribute) implements Rewrite {}

  /**
   * Values of the attribute fall into kinds; one that is not named falls into {@code otherwise}, or
   * stays as it is where that is empty. A kind may fall into another one.
   */
  record FoldVariant(String attribute, Map<String, String> kinds, String otherwise)
      implements Rewrite {
    public FoldVariant {
      kinds = Map.copyOf(kinds);
    }
  }

  /** Upper and lower case are one. */
  record FoldCase() implements Rewrite {}

  /** Any blanks are one space, and none at the ends or beside a separator of terms. */
  record FoldSpaces() implements Rewrite {}

  /** The order of the terms does not matter. */
  record SortTerms(char separator) implements Rewrite {}

  /** These terms do not matter. */
  record DropTerms(char separator, Set<String> terms) implements Rewrite {
    public DropTerms {
      terms = Set.copyOf(terms);
    }
  }

  /** Answers do not depend on the tenant. */
  record AcrossTenants() implements Rewrite {}
}

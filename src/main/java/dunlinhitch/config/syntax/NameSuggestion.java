package dunlinhitch.config.syntax;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests a declared name for an unknown one. */
final class NameSuggestion {
  /** Edit distance up to which a name is suggested regardless of its length. */
  private static final int MIN_TOLERANCE = 2;

  private NameSuggestion() {}

  /**
   * Returns text to append to an error message: the closest declared name, or all declared names if
   * none is close. Returns an empty string if no name is declared.
   */
  static String forUnknown(String unknown, Collection<String> declared) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    List<String> names = declared.stream().filter(name -> !name.isEmpty()).toList();
    Optional<String> nearest =
        names.stream().min(Comparator.comparing(name -> distance.apply(unknown, name)));
    if (nearest.isEmpty()) {
      return "";
    }
    String name = nearest.get();
    if (distance.apply(unknown, name) <= Math.max(MIN_TOLERANCE, name.length() / 2)) {
      return "; did you mean " + name + "?";
    }
    return "; expected one of " + String.join(", ", names);
  }
}

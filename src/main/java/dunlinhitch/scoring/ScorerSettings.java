package dunlinhitch.scoring;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a {@code [scorer NAME]} section says.
 *
 * @param name the scorer's own name for itself
 * @param directory where the jars are; null: it is one of those that ship with the program
 * @param parameters what the scorer is told, by name
 */
public record ScorerSettings(String name, Path directory, Map<String, String> parameters) {
  public ScorerSettings {
    if (name.isEmpty()) {
      throw new IllegalArgumentException("a scorer has a name");
    }
    parameters = Map.copyOf(parameters);
  }

  /** Who it is, once it has said of which version it is. */
  public ScorerIdentity identity(String version) {
    return new ScorerIdentity(name, version, new TreeMap<>(parameters).toString());
  }
}

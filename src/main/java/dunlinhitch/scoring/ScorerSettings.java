package dunlinhitch.scoring;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The settings of a {@code [scorer NAME]} section.
 *
 * @param name the name by which the scorer identifies itself
 * @param directory directory of the jars; null for a scorer that ships with the broker
 * @param parameters parameters of the scorer by name
 */
public record ScorerSettings(String name, Path directory, Map<String, String> parameters) {
  /** Validates the name and copies the parameters. */
  public ScorerSettings {
    if (name.isEmpty()) {
      throw new IllegalArgumentException("a scorer has a name");
    }
    parameters = Map.copyOf(parameters);
  }

  /** The identity of the scorer, which itself states its version. */
  public ScorerIdentity identity(String version) {
    return new ScorerIdentity(name, version, new TreeMap<>(parameters).toString());
  }
}

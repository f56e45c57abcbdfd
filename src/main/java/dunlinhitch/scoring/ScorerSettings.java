package dunlinhitch.scoring;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The settings of a {@code [scorer NAME]} section.
 *
 * @param name the name that the scorer returns from {@link dunlinhitch.scoring.api.Scorer#name}
 * @param directory directory of the jars; null for a scorer that ships with the broker
 * @param parameters parameters of the scorer by name
 */
public record ScorerSettings(String name, Path directory, Map<String, String> parameters) {
  /** Validates the name and copies the parameters. */
  public ScorerSettings {
    if (name.isEmpty()) {
      throw new IllegalArgumentException("the name of a scorer must not be empty");
    }
    parameters = Map.copyOf(parameters);
  }

  /** The identity of the scorer, with the version that the scorer reports. */
  public ScorerIdentity identity(String version) {
    return new ScorerIdentity(name, version, new TreeMap<>(parameters).toString());
  }
}

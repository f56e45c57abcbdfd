package dunlinhitch.scoring.host;

import dunlinhitch.scoring.ScorerSettings;
import dunlinhitch.scoring.Scoring;
import dunlinhitch.scoring.ScoringSettings;
import java.util.List;

/**
 * Configuration of a {@link ScorerHost}.
 *
 * @param self name of this broker
 * @param scorer settings of the scorer that is loaded initially
 * @param roundSettings settings of its rounds
 * @param limits limits on its resources
 * @param seed seed of all random choices
 */
public record HostConfiguration(
    String self,
    ScorerSettings scorer,
    ScoringSettings roundSettings,
    HostLimits limits,
    List<Scoring.QueryClass> queryClasses,
    long seed) {
  /** Copies the query classes. */
  public HostConfiguration {
    queryClasses = List.copyOf(queryClasses);
  }
}

package dunlinhitch.scoring;

import java.util.Comparator;

/**
 * Identity of a scorer; brokers share weights only between scorers of equal identity.
 *
 * @param parameters the text of the parameters, sorted by name
 */
public record ScorerIdentity(String name, String version, String parameters) {
  static final Comparator<ScorerIdentity> ORDER =
      Comparator.comparing(ScorerIdentity::name)
          .thenComparing(ScorerIdentity::version)
          .thenComparing(ScorerIdentity::parameters);
}

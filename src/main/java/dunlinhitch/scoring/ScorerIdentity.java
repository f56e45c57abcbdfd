package dunlinhitch.scoring;

import java.util.Comparator;

/**
 * What must be the same for weights of two brokers to mean the same; {@code parameters} is their
 * text, sorted by name.
 */
public record ScorerIdentity(String name, String version, String parameters) {
  static final Comparator<ScorerIdentity> ORDER =
      Comparator.comparing(ScorerIdentity::name)
          .thenComparing(ScorerIdentity::version)
          .thenComparing(ScorerIdentity::parameters);
}

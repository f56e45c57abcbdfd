package dunlinhitch.scoring;

import java.util.Comparator;

/** What a weight is about: one scorer's of one store and class. */
public record WeightKey(ScorerIdentity scorer, String store, String queryClass) {
  static final Comparator<WeightKey> ORDER =
      Comparator.comparing(WeightKey::store)
          .thenComparing(WeightKey::queryClass)
          .thenComparing(WeightKey::scorer, ScorerIdentity.ORDER);
}

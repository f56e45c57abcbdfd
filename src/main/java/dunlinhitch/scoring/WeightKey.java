package dunlinhitch.scoring;

import java.util.Comparator;

/** Key of a replicated weight: a scorer, an endpoint and a query class. */
public record WeightKey(ScorerIdentity scorer, String store, String queryClass) {
  static final Comparator<WeightKey> ORDER =
      Comparator.comparing(WeightKey::store)
          .thenComparing(WeightKey::queryClass)
          .thenComparing(WeightKey::scorer, ScorerIdentity.ORDER);
}

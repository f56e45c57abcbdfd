package dunlinhitch.scoring.host;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.Weight;
import dunlinhitch.scoring.WeightKey;
import java.util.List;

/**
 * What is to be passed on to other brokers, the latest first; {@code number} rises with every
 * change. Whoever words it chooses how much of it rides on a word and how often.
 */
public record News(
    long number,
    List<ReplicatedEntry<WeightKey, Weight>> weights,
    List<ReplicatedEntry<ScorerIdentity, Failure>> verdicts) {
  static final News NONE = new News(0, List.of(), List.of());
}

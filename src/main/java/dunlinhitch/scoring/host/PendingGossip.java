package dunlinhitch.scoring.host;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.Weight;
import dunlinhitch.scoring.WeightKey;
import java.util.List;

/**
 * Replicated entries to be disseminated to other brokers, the latest first. The sender decides how
 * many of them each message contains and how often they are sent.
 *
 * @param version a version number that increases with each change
 */
public record PendingGossip(
    long version,
    List<ReplicatedEntry<WeightKey, Weight>> weights,
    List<ReplicatedEntry<ScorerIdentity, Failure>> ejectionNotices) {
  static final PendingGossip NONE = new PendingGossip(0, List.of(), List.of());
}

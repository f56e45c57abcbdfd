package dunlinhitch.scoring;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.cluster.ReplicatedMap;
import dunlinhitch.cluster.ReplicatedMapSettings;
import java.util.List;

/**
 * Which scorers the brokers left out of late, and why; it rides on words beside the weights. Times
 * are of the day's clock.
 */
public final class Verdicts {
  private static final ReplicatedMapSettings RULE =
      new ReplicatedMapSettings(600_000_000, 2_000_000, 1_000, 16);

  private final String self;
  private final ReplicatedMap<ScorerIdentity, Failure> facts =
      new ReplicatedMap<>(RULE, ScorerIdentity.ORDER);

  public Verdicts(String self) {
    this.self = self;
  }

  /** Another broker's word; true if it was news. */
  public boolean told(long dayUs, ReplicatedEntry<ScorerIdentity, Failure> fact) {
    return !fact.origin().equals(self)
        && facts.merge(dayUs, fact) == ReplicatedMap.MergeResult.NEWS;
  }

  /** This broker left it out. */
  public void failed(long dayUs, ScorerIdentity scorer, Failure failure) {
    facts.merge(dayUs, new ReplicatedEntry<>(scorer, self, dayUs, failure));
  }

  /** Other brokers that left the same one out of late. */
  public int doubters(long dayUs, ScorerIdentity scorer) {
    facts.expire(dayUs);
    return (int) facts.of(scorer).stream().filter(fact -> !fact.origin().equals(self)).count();
  }

  public List<ReplicatedEntry<ScorerIdentity, Failure>> since(long version, int most) {
    return facts.since(version, most);
  }

  public long version() {
    return facts.version();
  }
}

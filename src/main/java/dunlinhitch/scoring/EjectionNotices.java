package dunlinhitch.scoring;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.cluster.ReplicatedMap;
import dunlinhitch.cluster.ReplicatedMapSettings;
import java.util.List;

/**
 * Replicated ejection notices: which scorers the brokers ejected recently, and why. They are
 * piggybacked on gossip messages together with the weights.
 *
 * <p>Uses no clock, I/O or threads. Not thread-safe. Times are in microseconds of the wall clock.
 */
public final class EjectionNotices {
  private static final ReplicatedMapSettings SETTINGS =
      new ReplicatedMapSettings(600_000_000, 2_000_000, 1_000, 16);

  private final String self;
  private final ReplicatedMap<ScorerIdentity, Failure> notices =
      new ReplicatedMap<>(SETTINGS, ScorerIdentity.ORDER);

  /**
   * Creates an empty replica.
   *
   * @param self name of this broker, the origin of its own notices
   */
  public EjectionNotices(String self) {
    this.self = self;
  }

  /** Merges a notice received by gossip; returns true if it was new. */
  public boolean merge(long wallClockUs, ReplicatedEntry<ScorerIdentity, Failure> notice) {
    return !notice.origin().equals(self)
        && notices.merge(wallClockUs, notice) == ReplicatedMap.MergeResult.NEWS;
  }

  /** Records that this broker ejected the scorer. */
  public void recordOwn(long wallClockUs, ScorerIdentity scorer, Failure failure) {
    notices.merge(wallClockUs, new ReplicatedEntry<>(scorer, self, wallClockUs, failure));
  }

  /** Number of other brokers that ejected the scorer recently. */
  public int otherEjections(long wallClockUs, ScorerIdentity scorer) {
    notices.expire(wallClockUs);
    return (int) notices.of(scorer).stream().filter(entry -> !entry.origin().equals(self)).count();
  }

  /** At most {@code limit} notices that changed after the given version, the latest first. */
  public List<ReplicatedEntry<ScorerIdentity, Failure>> since(long version, int limit) {
    return notices.since(version, limit);
  }

  /** A version number that increases with each change. */
  public long version() {
    return notices.version();
  }
}

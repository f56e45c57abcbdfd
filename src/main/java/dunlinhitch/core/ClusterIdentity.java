package dunlinhitch.core;

import dunlinhitch.cluster.ClusterSettings;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.versions.VersionSkewSettings;
import dunlinhitch.cluster.versions.VersionVector;
import java.util.List;

/**
 * The identity and configuration of this broker as a member of a cluster.
 *
 * @param self this member as announced to the others
 * @param seeds addresses at which other members may be found
 * @param settings settings that all members share
 * @param wallClockOffsetUs wall-clock time minus the broker's monotonic time at the start, in
 *     microseconds
 * @param versionSkew thresholds after which a member counts as out of date
 * @param versions the versions of settings and endpoint list in use at the start
 */
public record ClusterIdentity(
    Member self,
    List<MembershipProtocol.Seed> seeds,
    ClusterSettings settings,
    long wallClockOffsetUs,
    VersionSkewSettings versionSkew,
    VersionVector versions) {
  /** Copies the list. */
  public ClusterIdentity {
    seeds = List.copyOf(seeds);
  }
}

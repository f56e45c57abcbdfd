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
 * @param seeds addresses that this broker contacts to find the other members
 * @param settings settings that all members share
 * @param wallClockOffsetUs difference between wall-clock time and the broker's monotonic time when
 *     the broker started, in microseconds
 * @param versionSkew thresholds after which a member counts as out of date
 * @param versions the versions of the settings and of the endpoint list that are in use when the
 *     broker starts
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

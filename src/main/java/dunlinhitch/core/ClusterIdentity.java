package dunlinhitch.core;

import dunlinhitch.cluster.ClusterSettings;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.versions.VersionSkewSettings;
import dunlinhitch.cluster.versions.VersionVector;
import java.util.List;

/**
 * This broker as a member of a cluster.
 *
 * @param self the member as others are to know it
 * @param seeds addresses at which other members may be found
 * @param settings settings that all members share
 * @param wallClockOffsetUs by how much the wall clock is ahead of the broker's clock, in
 *     microseconds, as measured at the start
 * @param versionSkew when a member's versions count as out of date
 * @param versions the versions that this broker acts on at its start
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

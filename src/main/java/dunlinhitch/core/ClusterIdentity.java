package dunlinhitch.core;

import dunlinhitch.cluster.ClusterSettings;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.versions.VersionSkewSettings;
import dunlinhitch.cluster.versions.VersionVector;
import java.util.List;

/**
 * This broker's place among others.
 *
 * @param self as the others are to know it
 * @param seeds where others may be heard
 * @param settings what holds for all
 * @param dayOffsetUs what the day's clock is ahead of the loop's, in microseconds, as measured at
 *     the start
 * @param audit when a broker is a straggler
 * @param versions what it acts on at its start
 */
public record ClusterIdentity(
    Member self,
    List<MembershipProtocol.Seed> seeds,
    ClusterSettings settings,
    long dayOffsetUs,
    VersionSkewSettings audit,
    VersionVector versions) {
  public ClusterIdentity {
    seeds = List.copyOf(seeds);
  }
}

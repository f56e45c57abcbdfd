package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The cluster membership as seen by one broker at one time. Immutable: a decision uses a single
 * snapshot, so that all of its steps are based on the same members.
 *
 * @param number the sequence number of this broker's snapshots
 * @param members all members that are alive or suspected, including this broker; ordered by name,
 *     so that the order is the same at all brokers
 * @param digest the digest of the members' names, zones and addresses; brokers with the same
 *     members have equal digests
 * @param convergedSinceUs the time at which this broker determined that the cluster converged, in
 *     microseconds of the monotonic clock; negative if the cluster is not converged
 * @param divergedMembers the members that announced a digest different from this broker's
 * @param isolated whether this broker is isolated; if so, {@code members} are those from before the
 *     isolation
 * @param displacedBy the broker that uses this broker's name at another address and has precedence,
 *     or null
 */
public record ClusterSnapshot(
    long number,
    List<MemberView> members,
    long digest,
    long convergedSinceUs,
    Set<String> divergedMembers,
    boolean isolated,
    Member displacedBy) {
  /**
   * One member that is alive or suspected.
   *
   * @param peer the broker's name, zone, address, incarnation and status
   * @param reporterCount the number of brokers that are known to suspect the broker
   * @param versions the versions that the broker runs with; null until it has announced them
   */
  public record MemberView(Member peer, int reporterCount, VersionVector versions) {
    /** The broker's name. */
    public String name() {
      return peer.name();
    }

    /** Whether the broker is suspected. */
    public boolean isSuspect() {
      return peer.status() == Member.Status.SUSPECT;
    }
  }

  /** Copies the collections. */
  public ClusterSnapshot {
    members = List.copyOf(members);
    divergedMembers = Set.copyOf(divergedMembers);
  }

  /** Whether the cluster has converged, according to the digests that this broker has received. */
  public boolean isConverged() {
    return convergedSinceUs >= 0;
  }

  /** The names of the members, in order. */
  public Set<String> names() {
    Set<String> names = new TreeSet<>();
    members.forEach(member -> names.add(member.name()));
    return names;
  }

  /** The member with the given name; empty if the snapshot has none. */
  public Optional<MemberView> member(String name) {
    return members.stream().filter(member -> member.name().equals(name)).findAny();
  }

  /**
   * A one-line summary for operators; a list of more than {@code maxNames} names is replaced by its
   * size.
   */
  public String describe(long nowUs, int maxNames) {
    return membersText(maxNames)
        + "; "
        + String.format("%016x", digest)
        + ", "
        + convergenceText(nowUs, maxNames)
        + displacedByText();
  }

  private String membersText(int maxNames) {
    if (members.size() > maxNames) {
      return Integer.toString(members.size());
    }
    List<String> names = new ArrayList<>();
    members.forEach(member -> names.add(member.isSuspect() ? member.name() + "?" : member.name()));
    return members.size() + ": " + String.join(" ", names);
  }

  private String convergenceText(long nowUs, int maxNames) {
    if (isolated) {
      return "isolated: no member responds";
    }
    if (isConverged()) {
      return "converged for " + (nowUs - convergedSinceUs) / 1000 + " ms";
    }
    if (divergedMembers.isEmpty()) {
      return "no digests compared yet";
    }
    String names =
        divergedMembers.size() <= maxNames
            ? String.join(" ", new TreeSet<>(divergedMembers))
            : Integer.toString(divergedMembers.size());
    return "different digests at: " + names;
  }

  private String displacedByText() {
    if (displacedBy == null) {
      return "";
    }
    return "; name conflict: displaced by the broker at "
        + displacedBy.host()
        + ":"
        + displacedBy.port();
  }
}

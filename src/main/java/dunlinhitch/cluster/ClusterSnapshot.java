package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The membership as one broker knows it at one moment. Immutable: a decision uses one snapshot
 * throughout, so that all its parts are based on the same members.
 *
 * @param number the sequence number of this broker's snapshots
 * @param members all members that take part, including this broker, ordered by name, so that the
 *     order is the same at all brokers
 * @param digest over names, zones and addresses of the members: equal at brokers that agree
 * @param convergedSinceUs since when the cluster has been converged as far as this broker knows, in
 *     microseconds of the monotonic clock; negative if it is not converged
 * @param divergedMembers members that announced a different digest
 * @param isolated whether this broker is isolated; if so, the members are those that it last knew
 * @param displacedBy the broker at another address that took precedence for this broker's name, or
 *     null
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
   * One broker that takes part.
   *
   * @param peer its name, zone, address, incarnation and status
   * @param reporterCount how many brokers are known to suspect it
   * @param versions the versions that it acts on; null if they are not known yet
   */
  public record MemberView(Member peer, int reporterCount, VersionVector versions) {
    /** The broker's name. */
    public String name() {
      return peer.name();
    }

    /** Whether it is suspected. */
    public boolean isSuspect() {
      return peer.status() == Member.Status.SUSPECT;
    }
  }

  /** Copies the collections. */
  public ClusterSnapshot {
    members = List.copyOf(members);
    divergedMembers = Set.copyOf(divergedMembers);
  }

  /** Whether the cluster has converged, as far as this broker knows. */
  public boolean isConverged() {
    return convergedSinceUs >= 0;
  }

  /** The names of the members, in order. */
  public Set<String> names() {
    Set<String> names = new TreeSet<>();
    members.forEach(member -> names.add(member.name()));
    return names;
  }

  /** The member with the given name, if it takes part. */
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

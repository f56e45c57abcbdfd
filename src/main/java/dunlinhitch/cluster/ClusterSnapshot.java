package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The membership as one broker knows it at one moment. Immutable: a decision takes one snapshot and
 * uses it throughout, so that all parts of the decision go by the same members.
 *
 * @param number the sequence number of this broker's snapshots
 * @param members all that take part, this broker included, in the order of their names, which is
 *     the same at all brokers
 * @param digest over names, zones and addresses of the members: equal at brokers that agree
 * @param convergedSinceUs since when the cluster has converged as far as is known, on the monotonic
 *     clock; negative where it has not
 * @param divergedMembers members that announced another digest
 * @param isolated whether this broker is isolated; then the members are those that it knew last
 * @param displacedBy another broker that rightfully bears this one's name, or null
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
   * @param accusers how many brokers are known to suspect it
   * @param versions the versions that it acts on; null where they are not known yet
   */
  public record MemberView(Member peer, int accusers, VersionVector versions) {
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

  /** The member of that name, if it takes part. */
  public Optional<MemberView> member(String name) {
    return members.stream().filter(member -> member.name().equals(name)).findAny();
  }

  /** A line for an operator; where there are more than {@code most} names it gives their number. */
  public String line(long nowUs, int most) {
    return membersText(most)
        + "; "
        + String.format("%016x", digest)
        + ", "
        + convergenceText(nowUs, most)
        + displacedByText();
  }

  private String membersText(int most) {
    if (members.size() > most) {
      return Integer.toString(members.size());
    }
    List<String> names = new ArrayList<>();
    members.forEach(member -> names.add(member.isSuspect() ? member.name() + "?" : member.name()));
    return members.size() + ": " + String.join(" ", names);
  }

  private String convergenceText(long nowUs, int most) {
    if (isolated) {
      return "it hears nobody";
    }
    if (isConverged()) {
      return "settled for " + (nowUs - convergedSinceUs) / 1000 + " ms";
    }
    if (divergedMembers.isEmpty()) {
      return "not compared yet";
    }
    String names =
        divergedMembers.size() <= most
            ? String.join(" ", new TreeSet<>(divergedMembers))
            : Integer.toString(divergedMembers.size());
    return "others hold another: " + names;
  }

  private String displacedByText() {
    if (displacedBy == null) {
      return "";
    }
    return "; its name is also taken at " + displacedBy.host() + ":" + displacedBy.port();
  }
}

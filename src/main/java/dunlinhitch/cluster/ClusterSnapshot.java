package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one broker holds of the fleet at one moment. It is never changed: who decides takes one and
 * reads it to the end of the decision, so that no half of it goes by other members than the other
 * half.
 *
 * @param number counts this broker's views; a later one is higher
 * @param members all that take part, this broker among them, in the order of their names, which is
 *     one order at all brokers
 * @param digest of names, zones and addresses of the members: equal at brokers whose decisions are
 *     to add up
 * @param settledUs since when all that were heard hold the same, on the clock that never runs back;
 *     below 0: they do not
 * @param disagree members that were heard to hold another digest since this one was held
 * @param alone true where looks are made and none is answered: then the members are those that were
 *     held last
 * @param displacedBy another broker that bears this one's name by right, or null
 */
public record ClusterSnapshot(
    long number,
    List<MemberView> members,
    long digest,
    long settledUs,
    Set<String> disagree,
    boolean alone,
    Member displacedBy) {
  /**
   * One broker that takes part.
   *
   * @param peer its name, zone, address and incarnation; a status of SUSPECT is a doubt
   * @param accusers how many are known to have found that it does not answer
   * @param versions what it acts on, its build among it; null where it did not say so to this
   *     broker yet
   */
  public record MemberView(Member peer, int accusers, VersionVector versions) {
    public String name() {
      return peer.name();
    }

    public boolean isDoubted() {
      return peer.status() == Member.Status.SUSPECT;
    }
  }

  public ClusterSnapshot {
    members = List.copyOf(members);
    disagree = Set.copyOf(disagree);
  }

  public boolean isSettled() {
    return settledUs >= 0;
  }

  /** The names of the members, in order. */
  public Set<String> names() {
    Set<String> names = new TreeSet<>();
    members.forEach(member -> names.add(member.name()));
    return names;
  }

  public Optional<MemberView> member(String name) {
    return members.stream().filter(member -> member.name().equals(name)).findAny();
  }

  /** A line of it for an operator; beyond {@code most} names it gives numbers. */
  public String line(long nowUs, int most) {
    List<String> names = new ArrayList<>();
    members.forEach(member -> names.add(member.isDoubted() ? member.name() + "?" : member.name()));
    String who = members.size() + (members.size() <= most ? ": " + String.join(" ", names) : "");
    String state =
        alone
            ? "it hears nobody"
            : isSettled()
                ? "settled for " + (nowUs - settledUs) / 1000 + " ms"
                : disagree.isEmpty()
                    ? "not compared yet"
                    : "others hold another: "
                        + (disagree.size() <= most
                            ? String.join(" ", new TreeSet<>(disagree))
                            : Integer.toString(disagree.size()));
    return who
        + "; "
        + String.format("%016x", digest)
        + ", "
        + state
        + (displacedBy == null
            ? ""
            : "; its name is also taken at " + displacedBy.host() + ":" + displacedBy.port());
  }
}

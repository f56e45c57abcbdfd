package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The members from which subsets and duties are computed: the members of the latest snapshot,
 * except the fenced ones. An isolated broker keeps using the members of its last snapshot before
 * the isolation. Without this rule, brokers that are isolated from each other would each consider
 * themselves the only member, use every endpoint and carry out every duty.
 *
 * <p>Not thread-safe; owned by {@link ClusterCoordinator}.
 */
final class ActiveMembers {
  private final String self;
  private ClusterSnapshot snapshot;

  /** The members of the last snapshot that was taken while this broker was not isolated. */
  private Set<String> lastConnected;

  private Set<String> names;
  private Map<String, String> zones = new HashMap<>();
  private Set<String> fenced = Set.of();

  ActiveMembers(Member self, ClusterSnapshot snapshot) {
    this.self = self.name();
    this.snapshot = snapshot;
    lastConnected = snapshot.names();
    names = lastConnected;
    zones.put(self.name(), self.zone());
  }

  /**
   * Sets the fenced members, which run with outdated versions. The change takes effect with the
   * next call of {@link #refresh}.
   */
  void fence(Set<String> outdated) {
    fenced = Set.copyOf(outdated);
  }

  /** Replaces the current snapshot; returns true if the active members changed. */
  boolean refresh(ClusterSnapshot latest) {
    if (latest.number() != snapshot.number()) {
      snapshot = latest;
      lastConnected = snapshot.isolated() ? lastConnected : snapshot.names();
    }
    Set<String> current = withoutFenced();
    if (current.equals(names)) {
      return false;
    }
    names = current;
    zones = new HashMap<>();
    snapshot.members().forEach(member -> zones.put(member.name(), member.peer().zone()));
    return true;
  }

  private Set<String> withoutFenced() {
    if (fenced.isEmpty()) {
      return lastConnected;
    }
    Set<String> remaining = new TreeSet<>(lastConnected);
    remaining.removeIf(name -> fenced.contains(name) && !name.equals(self));
    return remaining;
  }

  /** The snapshot of the last refresh. */
  ClusterSnapshot snapshot() {
    return snapshot;
  }

  /** This broker's name. */
  String self() {
    return self;
  }

  /** The names of the active members, in order. */
  Set<String> names() {
    return names;
  }

  /** The active members with their zones, in the form that {@link Subsetting} takes. */
  List<Subsetting.MemberView> withZones() {
    List<Subsetting.MemberView> members = new ArrayList<>(names.size());
    for (String name : names) {
      members.add(new Subsetting.MemberView(name, zones.getOrDefault(name, "")));
    }
    return members;
  }
}

package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The members that one broker knows, itself included, with the digest over those that take part. It
 * makes no decisions: {@link MembershipUpdates} and {@link FailureDetector} determine the status of
 * members.
 *
 * <p>Every change of a member is applied to the suspicion table, the dissemination queue, the
 * digest and the convergence state here, so that they stay consistent with the list. Not
 * thread-safe; owned by {@link MembershipProtocol}.
 */
final class MemberList {
  private final MembershipProtocolSettings settings;
  private final SuspicionTable suspicions;
  private final UpdateQueue<String> updates;
  private final Convergence convergence;
  private final AntiEntropyDigest digestTable;
  private final Map<String, Member> peers = new LinkedHashMap<>();
  private final Map<String, VersionVector> peerVersions = new HashMap<>();

  /** For each peer that is dead or has left, the time at which it died or left. */
  private final Map<String, Long> departedSinceUs = new HashMap<>();

  private Member self;
  private Member displacedBy;
  private VersionVector selfVersions;
  private long digest;
  private long version;
  private int largestSize = 1;
  private boolean changed = true;

  MemberList(
      Member self,
      MembershipProtocolSettings settings,
      SuspicionTable suspicions,
      UpdateQueue<String> updates,
      Convergence convergence) {
    this.self = self;
    this.settings = settings;
    this.suspicions = suspicions;
    this.updates = updates;
    this.convergence = convergence;
    digestTable = new AntiEntropyDigest(settings.digestCoversAddresses());
    digestTable.add(self);
    digest = digestTable.digest();
  }

  /** This broker as it announces itself. */
  Member self() {
    return self;
  }

  /** The broker at another address that took precedence for this broker's name, or null. */
  Member displacedBy() {
    return displacedBy;
  }

  /** The member that counts under this broker's name: itself or the one that displaced it. */
  Member effectiveSelf() {
    return displacedBy == null ? self : displacedBy;
  }

  /** All other members in the order in which they became known, dead ones included; a live view. */
  Collection<Member> peers() {
    return Collections.unmodifiableCollection(peers.values());
  }

  /** The member with the given name as last merged, or null. */
  Member peer(String name) {
    return peers.get(name);
  }

  /** The number of members that take part, this broker included. */
  int size() {
    return digestTable.size();
  }

  /** The highest {@link #size()} so far. */
  int largestSize() {
    return largestSize;
  }

  /** Incremented whenever a member begins or ceases to take part. */
  long version() {
    return version;
  }

  /** The digest over the members that take part; never 0. */
  long digest() {
    return digest;
  }

  /** The digest to announce in messages; 0 if anti-entropy is disabled. */
  long announcedDigest() {
    return settings.isAntiEntropyEnabled() ? digest : 0;
  }

  /** The sums by bucket that {@link #digest()} is made of. */
  AntiEntropyDigest digestTable() {
    return digestTable;
  }

  /** The suspicions of the members in this list. */
  SuspicionTable suspicions() {
    return suspicions;
  }

  /** The versions that this broker acts on, or null while they are unknown. */
  VersionVector selfVersions() {
    return selfVersions;
  }

  /** Sets the versions that this broker acts on. */
  void setSelfVersions(VersionVector versions) {
    selfVersions = versions;
    changed = true;
  }

  /** The versions that a peer last announced, or null. */
  VersionVector peerVersions(String name) {
    return peerVersions.get(name);
  }

  /** Records the versions that a peer announced. */
  void setPeerVersions(String name, VersionVector versions) {
    if (!versions.equals(peerVersions.put(name, versions))) {
      changed = true;
    }
  }

  /** Records a change that requires a new {@link ClusterSnapshot}. */
  void markChanged() {
    changed = true;
  }

  /** Returns true if anything changed since the last call. */
  boolean clearChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  /** Marks this broker as left; it announces itself as left from now on. */
  void markSelfLeft() {
    self = self.withStatus(Member.Status.LEFT);
  }

  /** Replaces this broker's own entry and the one that displaces it, which may be null. */
  void replaceSelf(Member newSelf, Member newDisplacedBy) {
    digestTable.remove(effectiveSelf());
    self = newSelf;
    displacedBy = newDisplacedBy;
    digestTable.add(effectiveSelf());
    updateDigest();
    changed = true;
  }

  /** Stores a peer's new state and queues it for dissemination. */
  void put(Member peer, long nowUs) {
    Member before = peers.put(peer.name(), peer);
    if (peer.status() == Member.Status.SUSPECT) {
      suspicions.begin(peer.name(), peer.incarnation(), nowUs);
    } else {
      suspicions.end(peer.name());
    }
    updateDeparture(before, peer, nowUs);
    updates.enqueue(peer.name());
    boolean wasMember = before != null && before.takesPart();
    if (wasMember) {
      digestTable.remove(before);
    }
    if (peer.takesPart()) {
      digestTable.add(peer);
    } else {
      peerVersions.remove(peer.name());
      convergence.remove(peer.name());
    }
    if (wasMember != peer.takesPart()) {
      version++;
      largestSize = Math.max(largestSize, digestTable.size());
    }
    updateDigest();
    changed = true;
  }

  private void updateDeparture(Member before, Member peer, long nowUs) {
    if (peer.takesPart()) {
      departedSinceUs.remove(peer.name());
      return;
    }
    if (before == null
        || before.status() != peer.status()
        || before.incarnation() != peer.incarnation()) {
      departedSinceUs.put(peer.name(), nowUs);
    }
  }

  /** Removes the departed peers whose retention has ended and returns them. */
  List<Member> removeExpired(long nowUs) {
    List<Member> removed = new ArrayList<>();
    for (String name : List.copyOf(departedSinceUs.keySet())) {
      if (nowUs - departedSinceUs.get(name) >= settings.deadRetentionUs()) {
        removed.add(peers.remove(name));
        departedSinceUs.remove(name);
        updates.remove(name);
      }
    }
    return removed;
  }

  /** When the next departed peer is to be removed; {@link Long#MAX_VALUE} if there is none. */
  long nextExpiryUs() {
    long next = Long.MAX_VALUE;
    for (long since : departedSinceUs.values()) {
      next = Math.min(next, since + settings.deadRetentionUs());
    }
    return next;
  }

  /**
   * The name of a peer at the given address that is suspected, dead or left, or null. The peer has
   * to be notified, so that it can refute its status.
   */
  String notAlivePeerAt(String host, int port) {
    String suspect = firstAt(suspicions.names(), host, port);
    return suspect != null ? suspect : firstAt(departedSinceUs.keySet(), host, port);
  }

  private String firstAt(Collection<String> names, String host, int port) {
    for (String name : names) {
      if (peers.get(name).isAt(host, port)) {
        return name;
      }
    }
    return null;
  }

  private void updateDigest() {
    long current = digestTable.digest();
    if (current != digest) {
      digest = current;
      convergence.reset();
    }
  }
}

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
 * The list of all members known to this broker, including itself, with the digest of those that are
 * alive or suspected. {@link MembershipUpdates} and {@link FailureDetector} determine the status of
 * the members; this class only stores it.
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

  /** For each peer that is dead or left, the time at which it was declared dead or left. */
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

  /** The broker that uses this broker's name at another address and has precedence, or null. */
  Member displacedBy() {
    return displacedBy;
  }

  /**
   * The member that other brokers see under this broker's name: this broker, or the one that
   * displaced it.
   */
  Member effectiveSelf() {
    return displacedBy == null ? self : displacedBy;
  }

  /** All other members, including dead ones, in the order of their addition; a live view. */
  Collection<Member> peers() {
    return Collections.unmodifiableCollection(peers.values());
  }

  /** The member with the given name as last merged, or null. */
  Member peer(String name) {
    return peers.get(name);
  }

  /** The number of members that are alive or suspected, including this broker. */
  int size() {
    return digestTable.size();
  }

  /** The highest {@link #size()} so far. */
  int largestSize() {
    return largestSize;
  }

  /** Incremented whenever the set of members that are alive or suspected changes. */
  long version() {
    return version;
  }

  /** The digest of the members that are alive or suspected; never 0. */
  long digest() {
    return digest;
  }

  /** The digest to announce in messages; 0 if anti-entropy is disabled. */
  long announcedDigest() {
    return settings.isAntiEntropyEnabled() ? digest : 0;
  }

  /** The sums of the buckets from which {@link #digest()} is computed. */
  AntiEntropyDigest digestTable() {
    return digestTable;
  }

  /** The suspicions of the members in this list. */
  SuspicionTable suspicions() {
    return suspicions;
  }

  /** The versions that this broker runs with; null until they are set. */
  VersionVector selfVersions() {
    return selfVersions;
  }

  /** Sets the versions that this broker runs with. */
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

  /** Sets this broker's status to left, which all later messages announce. */
  void markSelfLeft() {
    self = self.withStatus(Member.Status.LEFT);
  }

  /** Replaces this broker's own entry, and the entry of the broker that displaces it, or null. */
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

  /**
   * The time at which the next departed peer has to be removed; {@link Long#MAX_VALUE} if there is
   * none.
   */
  long nextExpiryUs() {
    long next = Long.MAX_VALUE;
    for (long since : departedSinceUs.values()) {
      next = Math.min(next, since + settings.deadRetentionUs());
    }
    return next;
  }

  /**
   * The name of the peer at the given address if its status is suspected, dead or left; otherwise
   * null. Such a peer has to be notified of its status, so that it can refute the status.
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

package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Anti-entropy of the member lists: each broker announces a digest of its member list. Two brokers
 * with different digests compare the lists bucket by bucket and send each other the members of the
 * buckets that differ. {@link Convergence} tracks whether all members announce the same digest.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}.
 */
final class AntiEntropy {
  private final MembershipProtocolSettings settings;
  private final MemberList members;
  private final Convergence convergence;
  private final MessageSender sender;
  private final SplittableRandom random;
  private final boolean hasSeeds;

  /** The remaining number of bytes of member pages that may be sent in this protocol period. */
  private int pageBudgetBytes;

  AntiEntropy(
      MembershipProtocolSettings settings,
      MemberList members,
      Convergence convergence,
      MessageSender sender,
      SplittableRandom random,
      boolean hasSeeds) {
    this.settings = settings;
    this.members = members;
    this.convergence = convergence;
    this.sender = sender;
    this.random = random;
    this.hasSeeds = hasSeeds;
    resetPageBudget();
  }

  /** Resets the page budget at the start of a protocol period. */
  void resetPageBudget() {
    pageBudgetBytes = settings.antiEntropyBytes();
  }

  /**
   * Updates the convergence state and starts a comparison with a member whose digest has differed
   * for at least one protocol period.
   */
  void runPeriod(long nowUs) {
    if (settings.isAntiEntropyEnabled() && convergence.update(requiredMatches(), nowUs)) {
      members.markChanged();
    }
    convergence
        .nextToCompare(nowUs, settings.periodUs())
        .map(members::peer)
        .ifPresent(peer -> sender.sendBuckets(peer, GossipMessage.COMPARE));
  }

  /** Sends all members to a joining broker, unless both brokers have the same digest. */
  void onJoin(GossipMessage message) {
    if (settings.isAntiEntropyEnabled() && message.digest() != members.digest()) {
      sendPages(message.from(), members.digestTable().differing(List.of()));
    }
  }

  /** Handles the digest, the buckets and the versions that a message announces. */
  void onMessage(GossipMessage message, long nowUs) {
    Member from = message.from();
    boolean matches = message.digest() == members.digest();
    Member current = members.peer(from.name());
    if (current != null && current.takesPart() && current.isAt(from.host(), from.port())) {
      if (message.versions() != null) {
        members.setPeerVersions(from.name(), message.versions());
      }
      onDigest(message, matches, nowUs);
    }
    if (message.buckets().isEmpty() || !settings.isAntiEntropyEnabled()) {
      return;
    }
    if (message.sequenceNumber() == GossipMessage.COMPARE) {
      sender.sendBuckets(from, GossipMessage.COMPARED);
    }
    if (!matches) {
      sendPages(from, members.digestTable().differing(message.buckets()));
    }
  }

  private void onDigest(GossipMessage message, boolean matches, long nowUs) {
    if (settings.isAntiEntropyEnabled()
        && message.digest() != 0
        && convergence.onDigest(message.from().name(), matches, requiredMatches(), nowUs)) {
      members.markChanged();
    }
  }

  /**
   * The number of members that must announce this broker's digest before the cluster counts as
   * converged.
   */
  private int requiredMatches() {
    int others = members.size() - 1;
    if (others == 0 && hasSeeds) {
      return 1;
    }
    return Math.min(others, 1 + MessageSender.bitLength(others));
  }

  /**
   * Sends the members of the given buckets, starting with a random bucket, until the page budget of
   * this period is used up. A later exchange sends the remaining members.
   */
  private void sendPages(Member to, boolean[] buckets) {
    List<Member> selected = new ArrayList<>();
    for (Member peer : members.peers()) {
      if (buckets[AntiEntropyDigest.bucket(peer.name())]) {
        selected.add(peer);
      }
    }
    int first = selected.isEmpty() ? 0 : random.nextInt(selected.size());
    List<Member> page = new ArrayList<>();
    int remaining = sender.pageCapacityBytes();
    for (int i = 0; i < selected.size(); i++) {
      Member peer = selected.get((first + i) % selected.size());
      if (peer.bytes() > remaining) {
        if (!sendPage(to, page)) {
          return;
        }
        page.clear();
        remaining = sender.pageCapacityBytes();
      }
      remaining -= peer.bytes();
      page.add(peer);
    }
    if (!page.isEmpty()) {
      sendPage(to, page);
    }
  }

  /** Sends one page of members; returns false if the page budget does not suffice. */
  private boolean sendPage(Member to, List<Member> page) {
    GossipMessage message = sender.page(page);
    pageBudgetBytes -= message.bytes();
    if (pageBudgetBytes < 0) {
      return false;
    }
    sender.sendUnchanged(to, message);
    return true;
  }
}

package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The addresses to which this broker sends joins: the configured seeds and the addresses of members
 * that were removed as dead. The addresses of dead members let the two sides of a long partition
 * find each other after the partition has healed.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}.
 */
final class JoinAddresses {
  /** The maximum number of remembered addresses of former members; the oldest is dropped first. */
  private static final int MAX_FORMER_ADDRESSES = 64;

  private final MembershipProtocolSettings settings;
  private final List<MembershipProtocol.Seed> seeds;
  private final MemberList members;
  private final MessageSender sender;
  private final SplittableRandom random;
  private final Set<MembershipProtocol.Seed> formerAddresses = new LinkedHashSet<>();

  JoinAddresses(
      MembershipProtocolSettings settings,
      List<MembershipProtocol.Seed> seeds,
      MemberList members,
      MessageSender sender,
      SplittableRandom random) {
    this.settings = settings;
    this.seeds = seeds;
    this.members = members;
    this.sender = sender;
    this.random = random;
  }

  /**
   * Remembers the address of a member that was removed from the list as dead, if anti-entropy is
   * enabled. The address of a member that left is not remembered.
   */
  void onMemberExpired(Member member) {
    if (member.status() != Member.Status.DEAD || !settings.isAntiEntropyEnabled()) {
      return;
    }
    formerAddresses.add(addressOf(member));
    if (formerAddresses.size() > MAX_FORMER_ADDRESSES) {
      formerAddresses.remove(formerAddresses.iterator().next());
    }
  }

  /**
   * Sends joins to at most {@code limit} addresses. If anti-entropy is enabled, the addresses of
   * current members are skipped.
   */
  void sendJoins(int limit) {
    List<MembershipProtocol.Seed> candidates = candidates();
    for (int i = 0; i < limit && !candidates.isEmpty(); i++) {
      int index = settings.isAntiEntropyEnabled() ? random.nextInt(candidates.size()) : 0;
      sender.sendJoin(candidates.remove(index));
    }
  }

  private List<MembershipProtocol.Seed> candidates() {
    List<MembershipProtocol.Seed> candidates = new ArrayList<>(seeds);
    for (MembershipProtocol.Seed address : formerAddresses) {
      if (!seeds.contains(address)) {
        candidates.add(address);
      }
    }
    if (settings.isAntiEntropyEnabled()) {
      for (Member peer : members.peers()) {
        if (peer.takesPart()) {
          candidates.remove(addressOf(peer));
        }
      }
    }
    return candidates;
  }

  private static MembershipProtocol.Seed addressOf(Member member) {
    return new MembershipProtocol.Seed(member.host(), member.port());
  }
}

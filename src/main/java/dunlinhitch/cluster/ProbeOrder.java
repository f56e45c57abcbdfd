package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The order in which members are pinged: randomized round-robin as in SWIM. The order is shuffled
 * again for each round, and each member is pinged within a bounded time. Each round also includes
 * one dead member, because it may be reachable again after a partition.
 *
 * <p>Not thread-safe; owned by {@link FailureDetector}.
 */
final class ProbeOrder {
  private final MemberList members;
  private final SplittableRandom random;

  /** The members that remain to be pinged in this round; the last element is the next one. */
  private final List<String> remaining = new ArrayList<>();

  ProbeOrder(MemberList members, SplittableRandom random) {
    this.members = members;
    this.random = random;
  }

  /** Whether the next member begins a new round. */
  boolean isRoundComplete() {
    return remaining.isEmpty();
  }

  /** The next member to ping, or null if no other member is known. */
  Member next() {
    while (true) {
      if (remaining.isEmpty()) {
        beginRound();
      }
      if (remaining.isEmpty()) {
        return null;
      }
      Member peer = members.peer(remaining.remove(remaining.size() - 1));
      if (peer != null && peer.status() != Member.Status.LEFT) {
        return peer;
      }
    }
  }

  private void beginRound() {
    List<String> dead = new ArrayList<>();
    for (Member peer : members.peers()) {
      if (peer.takesPart()) {
        insertAtRandom(peer.name());
      } else if (peer.status() == Member.Status.DEAD) {
        dead.add(peer.name());
      }
    }
    if (!dead.isEmpty()) {
      int index = random.nextInt(remaining.size() + 1);
      remaining.add(index, dead.get(random.nextInt(dead.size())));
    }
  }

  private void insertAtRandom(String name) {
    remaining.add(random.nextInt(remaining.size() + 1), name);
  }
}

package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * The digest of a set of members, maintained incrementally as one sum of hashes per bucket. The
 * sums do not depend on the order of changes, and comparing them by bucket narrows a difference
 * down to a few members.
 *
 * <p>Not thread-safe; owned by {@link MemberList}.
 */
final class AntiEntropyDigest {
  /**
   * The number of buckets. If two brokers use different numbers, all buckets count as different.
   */
  static final int BUCKETS = 16;

  /** Replaces a digest of 0, which on the wire means that no digest is announced. */
  private static final long SUBSTITUTE_FOR_ZERO = 1;

  private static final int DIGEST_MULTIPLIER = 31;

  private final long[] sums = new long[BUCKETS];
  private final boolean includeAddresses;
  private int size;

  /** Creates an empty set; {@code includeAddresses} makes a member's address part of its hash. */
  AntiEntropyDigest(boolean includeAddresses) {
    this.includeAddresses = includeAddresses;
  }

  /** Adds a member that is not in the set. */
  void add(Member member) {
    sums[bucket(member.name())] += hash(member);
    size++;
  }

  /** Removes a member, which must be equal to the one that was added. */
  void remove(Member member) {
    sums[bucket(member.name())] -= hash(member);
    size--;
  }

  /** The number of members in the set. */
  int size() {
    return size;
  }

  /** The digest of the whole set; never 0. */
  long digest() {
    long digest = 0;
    for (int i = 0; i < BUCKETS; i++) {
      digest = DIGEST_MULTIPLIER * digest + sums[i];
    }
    return digest == 0 ? SUBSTITUTE_FOR_ZERO : digest;
  }

  /** The sum of each bucket. */
  List<Long> buckets() {
    List<Long> buckets = new ArrayList<>(BUCKETS);
    for (long sum : sums) {
      buckets.add(sum);
    }
    return buckets;
  }

  /**
   * Returns for each bucket whether it differs; all do if the other side has a different number of
   * buckets.
   */
  boolean[] differing(List<Long> others) {
    boolean[] differing = new boolean[BUCKETS];
    for (int i = 0; i < BUCKETS; i++) {
      differing[i] = others.size() != BUCKETS || others.get(i) != sums[i];
    }
    return differing;
  }

  /** The bucket of the member with the given name. */
  static int bucket(String name) {
    return Math.floorMod(RendezvousHash.of("bucket", name), BUCKETS);
  }

  private long hash(Member member) {
    if (!includeAddresses) {
      return RendezvousHash.of(member.name(), member.zone());
    }
    return RendezvousHash.of(
        member.name(), member.zone(), member.host(), Integer.toString(member.port()));
  }
}

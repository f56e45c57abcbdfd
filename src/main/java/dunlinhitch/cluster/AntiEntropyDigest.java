package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * The digest of a set of members, maintained incrementally as one sum of member hashes per bucket.
 * The sums do not depend on the order in which members are added and removed. If two brokers
 * compare their sums, they have to exchange only the few members of the buckets that differ.
 *
 * <p>Not thread-safe; owned by {@link MemberList}.
 */
final class AntiEntropyDigest {
  /**
   * The number of buckets. If two brokers use different numbers of buckets, all buckets count as
   * different.
   */
  static final int BUCKETS = 16;

  /** Replaces a digest of 0, which on the wire means that no digest is announced. */
  private static final long SUBSTITUTE_FOR_ZERO = 1;

  private static final int DIGEST_MULTIPLIER = 31;

  private final long[] sums = new long[BUCKETS];
  private final boolean includeAddresses;
  private int size;

  /**
   * Creates the digest of an empty set. If {@code includeAddresses} is true, the hash of a member
   * covers its address.
   */
  AntiEntropyDigest(boolean includeAddresses) {
    this.includeAddresses = includeAddresses;
  }

  /** Adds a member that is not in the set. */
  void add(Member member) {
    sums[bucket(member.name())] += hash(member);
    size++;
  }

  /**
   * Removes a member. The argument must be equal to the object that was added, because its hash is
   * subtracted.
   */
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
   * Compares the sums with those of another broker and returns, for each bucket, whether its sums
   * differ. If the numbers of buckets differ, all buckets count as different.
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

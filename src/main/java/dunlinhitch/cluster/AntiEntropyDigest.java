package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * The digest of a set of members, maintained incrementally: sums of hashes by bucket, so that the
 * order of changes does not count, and two digests that differ can be narrowed down to a few
 * members.
 *
 * <p>Not thread-safe; owned by {@link MemberList}.
 */
final class AntiEntropyDigest {
  /** Both sides of a comparison must have as many, or all buckets count as different. */
  static final int BUCKETS = 16;

  /** A digest of 0 on the wire means that none is announced, so this one stands in for it. */
  private static final long SUBSTITUTE_FOR_ZERO = 1;

  private static final int DIGEST_MULTIPLIER = 31;

  private final long[] sums = new long[BUCKETS];
  private final boolean includeAddresses;
  private int size;

  /** {@code includeAddresses}: whether a member's address is part of its hash. */
  AntiEntropyDigest(boolean includeAddresses) {
    this.includeAddresses = includeAddresses;
  }

  /** Adds a member that is not in the set. */
  void add(Member member) {
    sums[bucket(member.name())] += hash(member);
    size++;
  }

  /** Removes a member exactly as it was added. */
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

  /** For each bucket whether it differs; all do where the other side has another number of them. */
  boolean[] differing(List<Long> others) {
    boolean[] differing = new boolean[BUCKETS];
    for (int i = 0; i < BUCKETS; i++) {
      differing[i] = others.size() != BUCKETS || others.get(i) != sums[i];
    }
    return differing;
  }

  /** The bucket of the member with that name. */
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

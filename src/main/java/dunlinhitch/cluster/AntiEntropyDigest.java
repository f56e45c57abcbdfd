package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * The digest of a set of brokers, kept as it changes: sums of hashes by bucket, so that the order
 * in which they came does not count and two digests that differ can be narrowed down to a few
 * names.
 */
final class AntiEntropyDigest {
  static final int BUCKETS = 16;
  private final long[] sums = new long[BUCKETS];
  private final boolean addresses;
  private int size;

  AntiEntropyDigest(boolean addresses) {
    this.addresses = addresses;
  }

  void add(Member peer) {
    sums[bucket(peer.name())] += hash(peer);
    size++;
  }

  void remove(Member peer) {
    sums[bucket(peer.name())] -= hash(peer);
    size--;
  }

  int size() {
    return size;
  }

  /** Never 0: that says that none is told. */
  long digest() {
    long digest = 0;
    for (int i = 0; i < BUCKETS; i++) {
      digest = 31 * digest + sums[i];
    }
    return digest == 0 ? 1 : digest;
  }

  List<Long> buckets() {
    List<Long> buckets = new ArrayList<>(BUCKETS);
    for (long sum : sums) {
      buckets.add(sum);
    }
    return buckets;
  }

  /** For each bucket whether it differs; one that another version cuts otherwise differs in all. */
  boolean[] differing(List<Long> others) {
    boolean[] differing = new boolean[BUCKETS];
    for (int i = 0; i < BUCKETS; i++) {
      differing[i] = others.size() != BUCKETS || others.get(i) != sums[i];
    }
    return differing;
  }

  static int bucket(String name) {
    return Math.floorMod(RendezvousHash.of("bucket", name), BUCKETS);
  }

  private long hash(Member peer) {
    return !addresses
        ? RendezvousHash.of(peer.name(), peer.zone())
        : RendezvousHash.of(peer.name(), peer.zone(), peer.host(), Integer.toString(peer.port()));
  }
}

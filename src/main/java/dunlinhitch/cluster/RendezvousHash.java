package dunlinhitch.cluster;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): for a given key, names are ranked by a hash of
 * the key and the name. Brokers with the same set of names compute the same ranking. Adding or
 * removing a name does not change the relative order of the other names.
 */
public final class RendezvousHash {
  /**
   * The seed of the hash function. Must be the same for all brokers and versions; brokers with
   * different seeds would compute different rankings.
   */
  private static final int HASH_SEED = 0x64756e6c;

  private static final HashFunction HASH = Hashing.murmur3_128(HASH_SEED);

  private RendezvousHash() {}

  /**
   * The hash of a key that consists of several strings. The length of each string is hashed too, so
   * that different splits of the same text have different hashes.
   */
  static long of(String... parts) {
    Hasher hasher = HASH.newHasher();
    for (String part : parts) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    return hasher.hash().asLong();
  }

  /** The first name in the {@link #order} for the key; null if there are no names. */
  public static String first(Collection<String> names, String... key) {
    String[] parts = Arrays.copyOf(key, key.length + 1);
    String bestName = null;
    long bestHash = 0;
    for (String name : names) {
      parts[key.length] = name;
      long hash = of(parts);
      if (bestName == null
          || hash > bestHash
          || (hash == bestHash && name.compareTo(bestName) < 0)) {
        bestName = name;
        bestHash = hash;
      }
    }
    return bestName;
  }

  /** The names by descending hash of key and name. Names with equal hashes are in natural order. */
  static List<String> order(Collection<String> names, String... key) {
    record Ranked(String name, long hash) {}

    String[] parts = Arrays.copyOf(key, key.length + 1);
    List<Ranked> ranked = new ArrayList<>(names.size());
    for (String name : names) {
      parts[key.length] = name;
      ranked.add(new Ranked(name, of(parts)));
    }
    ranked.sort(Comparator.comparingLong(Ranked::hash).reversed().thenComparing(Ranked::name));
    return ranked.stream().map(Ranked::name).toList();
  }
}

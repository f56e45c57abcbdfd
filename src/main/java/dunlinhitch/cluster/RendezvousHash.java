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
 * Rendezvous hashing (Thaler and Ravishankar, 1998): names are ranked for a key by the hash of key
 * and name together. All brokers that know the same names compute the same ranking, and adding or
 * removing a name does not change the relative order of the others.
 */
public final class RendezvousHash {
  /**
   * Must be the same for all brokers and versions: with different seeds they would disagree on
   * rankings.
   */
  private static final int HASH_SEED = 0x64756e6c;

  private static final HashFunction HASH = Hashing.murmur3_128(HASH_SEED);

  private RendezvousHash() {}

  /** The hash of a key of several parts; parts are hashed with their lengths. */
  static long of(String... parts) {
    Hasher hasher = HASH.newHasher();
    for (String part : parts) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    return hasher.hash().asLong();
  }

  /** The name that ranks first for the key, as in {@link #order}; null if there are no names. */
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

  /** The names by descending hash with the key; names with equal hashes in natural order. */
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

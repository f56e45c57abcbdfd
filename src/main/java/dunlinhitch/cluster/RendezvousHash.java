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
 * Rendezvous hashing (Thaler and Ravishankar, 1998): who comes first for a key is whose hash with
 * the key is highest. All who know the same names find the same order, and one name that comes or
 * goes moves no two others against each other.
 */
public final class RendezvousHash {
  /** The same at every broker and in every version: an order that differed would be two orders. */
  private static final HashFunction HASH = Hashing.murmur3_128(0x64756e6c);

  private RendezvousHash() {}

  /** Of a key in several words; where one ends and the next begins counts. */
  static long of(String... words) {
    Hasher hasher = HASH.newHasher();
    for (String word : words) {
      byte[] bytes = word.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    return hasher.hash().asLong();
  }

  /** The name that ranks first for the key, as in {@link #order}; null where there is none. */
  public static String first(Collection<String> names, String... key) {
    String[] words = Arrays.copyOf(key, key.length + 1);
    String best = null;
    long most = 0;
    for (String name : names) {
      words[key.length] = name;
      long rank = of(words);
      if (best == null || rank > most || (rank == most && name.compareTo(best) < 0)) {
        best = name;
        most = rank;
      }
    }
    return best;
  }

  /** The names by their rank for the key, the first first; equal hashes go by the name. */
  static List<String> order(Collection<String> names, String... key) {
    record Ranked(String name, long rank) {}

    String[] words = new String[key.length + 1];
    System.arraycopy(key, 0, words, 0, key.length);
    List<Ranked> ranked = new ArrayList<>(names.size());
    for (String name : names) {
      words[key.length] = name;
      ranked.add(new Ranked(name, of(words)));
    }
    ranked.sort(Comparator.comparingLong(Ranked::rank).reversed().thenComparing(Ranked::name));
    return ranked.stream().map(Ranked::name).toList();
  }
}

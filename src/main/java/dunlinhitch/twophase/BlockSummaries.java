package dunlinhitch.twophase;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;

/**
 * What first answers told: for each predicate, which blocks had nothing and which had something, as
 * compressed bitmaps over the blocks; for each block the version of its data and when it was heard.
 * Bounded by blocks and by predicates, of which the one that was longest unused goes. A summary is
 * a hint: two predicates may share a hash, and data change. One thread at a time.
 *
 * <p>The other way round, a bitmap of predicates for each block, takes a container for nearly every
 * hash: see {@code lab measure summaries}.
 */
public final class BlockSummaries {
  /** What a summary suggests. */
  public enum Hint {
    UNKNOWN,
    NOTHING,
    SOMETHING
  }

  private static final class Blocks {
    private final RoaringBitmap nothing = new RoaringBitmap();
    private final RoaringBitmap something = new RoaringBitmap();
  }

  private final int mostBlocks;
  private final int mostPredicates;
  private final long mostAgeUs;
  private final Map<Integer, Blocks> byFeature = new LinkedHashMap<>(16, 0.75f, true);
  private int[] versions = {};
  private long[] heardUs = {};

  /**
   * Blocks from {@code mostBlocks} on are not kept; what is older than {@code mostAgeUs}
   * (microseconds) suggests nothing.
   */
  public BlockSummaries(int mostBlocks, int mostPredicates, long mostAgeUs) {
    this.mostBlocks = mostBlocks;
    this.mostPredicates = mostPredicates;
    this.mostAgeUs = mostAgeUs;
  }

  /** FNV-1a: the same for the same text in every process. */
  public static int feature(String predicate) {
    int hash = 0x811c9dc5;
    for (int i = 0; i < predicate.length(); i++) {
      hash = (hash ^ predicate.charAt(i)) * 0x01000193;
    }
    return hash;
  }

  /**
   * A first answer of that version came; another version than before makes what was known of the
   * block void.
   */
  public void told(long nowUs, int block, String version, int feature, boolean empty) {
    if (block < 0 || block >= mostBlocks) {
      return;
    }
    if (block >= versions.length) {
      int size = Math.min(mostBlocks, Math.max(64, 2 * block + 1));
      versions = Arrays.copyOf(versions, size);
      heardUs = Arrays.copyOf(heardUs, size);
    }
    int versionHash = feature(version) | 1; // 0: nothing was heard
    if (versions[block] != versionHash) {
      forget(block);
      versions[block] = versionHash;
    }
    heardUs[block] = nowUs;
    Blocks blocks = byFeature.computeIfAbsent(feature, k -> new Blocks());
    (empty ? blocks.nothing : blocks.something).add(block);
    (empty ? blocks.something : blocks.nothing).remove(block);
    if (byFeature.size() > mostPredicates) {
      byFeature.remove(byFeature.keySet().iterator().next());
    }
  }

  public Hint hint(long nowUs, int block, int feature) {
    Blocks blocks = byFeature.get(feature);
    if (blocks == null
        || block < 0
        || block >= versions.length
        || versions[block] == 0
        || nowUs - heardUs[block] > mostAgeUs) {
      return Hint.UNKNOWN;
    }
    return blocks.something.contains(block)
        ? Hint.SOMETHING
        : blocks.nothing.contains(block) ? Hint.NOTHING : Hint.UNKNOWN;
  }

  /** The block's data are other ones, or may be. */
  public void forget(int block) {
    if (block >= 0 && block < versions.length && versions[block] != 0) {
      versions[block] = 0;
      byFeature
          .values()
          .forEach(
              blocks -> {
                blocks.nothing.remove(block);
                blocks.something.remove(block);
              });
    }
  }

  /** Bytes of the bitmaps and of what is kept for each block. */
  public long bytes() {
    return byFeature.values().stream()
            .mapToLong(b -> b.nothing.getLongSizeInBytes() + b.something.getLongSizeInBytes())
            .sum()
        + 12L * versions.length;
  }
}

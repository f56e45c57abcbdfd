package dunlinhitch.twophase;

import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;

/**
 * Summaries of the answers to first passes. For each predicate, there are compressed bitmaps of the
 * blocks without matching records and of the blocks with matching records. For each block, there is
 * the version of its data and the time of its last answer.
 *
 * <p>Bounded by a maximum number of blocks and a maximum number of predicates; the least recently
 * used predicate is evicted. A summary is only a hint, because two predicates may share a hash and
 * data may change. Owned by the planner; not thread-safe.
 *
 * <p>The transposed layout, with one bitmap of predicates for each block, would need a bitmap
 * container for nearly every hash; {@code lab measure summaries} compares the two layouts.
 */
public final class BlockSummaries {
  private static final int FNV_OFFSET_BASIS = 0x811c9dc5;
  private static final int FNV_PRIME = 0x01000193;

  /** Smallest size to which the arrays indexed by block grow. */
  private static final int MIN_CAPACITY = 64;

  /**
   * Version hash of a block without a summary. It differs from the hashes of actual versions, whose
   * lowest bit is set.
   */
  private static final int NO_VERSION = 0;

  /** Bytes per block for the version hash and the time of the last answer. */
  private static final long BYTES_PER_BLOCK = 12;

  /** What the summary of a block suggests for a predicate. */
  public enum Hint {
    /** There is no summary, or it is too old. */
    UNKNOWN,
    /** The block had no matching records. */
    NOTHING,
    /** The block had matching records. */
    SOMETHING
  }

  private static final class PredicateBitmaps {
    private final RoaringBitmap empty = new RoaringBitmap();
    private final RoaringBitmap nonEmpty = new RoaringBitmap();
  }

  private final int maxBlocks;
  private final int maxPredicates;
  private final long maxAgeUs;

  /** The bitmaps by the hash of their predicate, in access order. */
  private final Map<Integer, PredicateBitmaps> bitmapsByFeature =
      new LinkedHashMap<>(16, 0.75f, true);

  private int[] versionHashes = {};
  private long[] updatedUs = {};

  /**
   * Creates an empty table.
   *
   * @param maxBlocks blocks with this number or a higher one are ignored
   * @param maxPredicates number of predicates above which the least recently used one is evicted
   * @param maxAgeUs age in microseconds above which a summary gives no hint
   */
  public BlockSummaries(int maxBlocks, int maxPredicates, long maxAgeUs) {
    this.maxBlocks = maxBlocks;
    this.maxPredicates = maxPredicates;
    this.maxAgeUs = maxAgeUs;
  }

  /** Hashes a predicate by FNV-1a, which gives the same value in every process. */
  public static int hash(String predicate) {
    int hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < predicate.length(); i++) {
      hash = (hash ^ predicate.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /**
   * Records a first answer. If the version differs from the block's last one, all summaries of the
   * block are discarded first.
   *
   * @param nowUs time of the answer, in microseconds
   * @param block number of the block
   * @param version version of the block's data
   * @param feature {@linkplain #hash hash} of the predicate
   * @param empty whether the block has no matching records
   */
  public void record(long nowUs, int block, String version, int feature, boolean empty) {
    if (block < 0 || block >= maxBlocks) {
      return;
    }
    ensureCapacity(block);
    // The lowest bit distinguishes the hash from NO_VERSION.
    int versionHash = hash(version) | 1;
    if (versionHashes[block] != versionHash) {
      forget(block);
      versionHashes[block] = versionHash;
    }
    updatedUs[block] = nowUs;
    PredicateBitmaps bitmaps =
        bitmapsByFeature.computeIfAbsent(feature, key -> new PredicateBitmaps());
    (empty ? bitmaps.empty : bitmaps.nonEmpty).add(block);
    (empty ? bitmaps.nonEmpty : bitmaps.empty).remove(block);
    if (bitmapsByFeature.size() > maxPredicates) {
      evictLeastRecentlyUsed();
    }
  }

  private void ensureCapacity(int block) {
    if (block < versionHashes.length) {
      return;
    }
    int capacity = Math.min(maxBlocks, Math.max(MIN_CAPACITY, 2 * block + 1));
    versionHashes = Arrays.copyOf(versionHashes, capacity);
    updatedUs = Arrays.copyOf(updatedUs, capacity);
  }

  private void evictLeastRecentlyUsed() {
    Iterator<Integer> features = bitmapsByFeature.keySet().iterator();
    features.next();
    features.remove();
  }

  /** Returns what the block's summary suggests for the predicate with the hash {@code feature}. */
  public Hint hint(long nowUs, int block, int feature) {
    // the lookup counts as a use of the predicate even if the block has no summary
    PredicateBitmaps bitmaps = bitmapsByFeature.get(feature);
    if (bitmaps == null || !hasSummary(block) || nowUs - updatedUs[block] > maxAgeUs) {
      return Hint.UNKNOWN;
    }
    if (bitmaps.nonEmpty.contains(block)) {
      return Hint.SOMETHING;
    }
    return bitmaps.empty.contains(block) ? Hint.NOTHING : Hint.UNKNOWN;
  }

  private boolean hasSummary(int block) {
    return block >= 0 && block < versionHashes.length && versionHashes[block] != NO_VERSION;
  }

  /** Discards the summaries of a block whose data have changed, or may have. */
  public void forget(int block) {
    if (!hasSummary(block)) {
      return;
    }
    versionHashes[block] = NO_VERSION;
    for (PredicateBitmaps bitmaps : bitmapsByFeature.values()) {
      bitmaps.empty.remove(block);
      bitmaps.nonEmpty.remove(block);
    }
  }

  /** Returns the memory of the bitmaps and of the arrays indexed by block, in bytes. */
  public long bytes() {
    long bitmapBytes = 0;
    for (PredicateBitmaps bitmaps : bitmapsByFeature.values()) {
      bitmapBytes += bitmaps.empty.getLongSizeInBytes() + bitmaps.nonEmpty.getLongSizeInBytes();
    }
    return bitmapBytes + BYTES_PER_BLOCK * versionHashes.length;
  }
}

package dunlinhitch.experiments.measurements;

import dunlinhitch.twophase.BlockSummaries;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Compares two structures that record which blocks have no matches for a predicate: the block
 * summaries, which are bitmaps of blocks by predicate, and a plain map for each block. The figures
 * are memory, and the time to record and to look up one entry. Single-threaded.
 */
final class SummariesMeasure implements Measures.Measure {
  private static final int PREDICATES = 16;
  private static final int[] BLOCK_COUNTS = {100, 10_000, 1_000_000};

  /** Percentage of the recorded (block, predicate) pairs that have no matches. */
  private static final int EMPTY_PERCENT = 60;

  private static final String[] TEXTS = new String[PREDICATES];
  private static final int[] FEATURES = new int[PREDICATES];

  static {
    for (int i = 0; i < PREDICATES; i++) {
      TEXTS[i] = "altos " + i;
      FEATURES[i] = BlockSummaries.hash(TEXTS[i]);
    }
  }

  /**
   * Cost of one structure: total heap bytes, and nanoseconds to record and to look up one entry.
   */
  private record Cost(long bytes, double recordNs, double lookUpNs) {}

  private record Costs(Cost bitmaps, Cost maps) {}

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    out.printf(
        "%10s %16s %16s %14s %14s %14s %14s%n",
        "blocks",
        "bitmaps B/block",
        "map B/block",
        "bitmaps rec ns",
        "map rec ns",
        "bitmaps get ns",
        "map get ns");
    double ratio = 0;
    for (int blocks : BLOCK_COUNTS) {
      Costs costs = measure(blocks, seed, quick);
      ratio = (double) costs.maps().bytes() / costs.bitmaps().bytes();
      out.printf(
          Locale.ROOT,
          "%10d %16.1f %16.1f %14.1f %14.1f %14.1f %14.1f%n",
          blocks,
          (double) costs.bitmaps().bytes() / blocks,
          (double) costs.maps().bytes() / blocks,
          costs.bitmaps().recordNs(),
          costs.maps().recordNs(),
          costs.bitmaps().lookUpNs(),
          costs.maps().lookUpNs());
    }
    out.println(
        PREDICATES
            + " predicates recorded for each block; bitmaps: the block summaries; map: a plain map for each block; "
            + "B/block: bytes of heap after a garbage collection; rec, get: time to record and to look up one entry");
    return new Measures.Verdict("map-by-bitmaps-at-1000000", ratio, "times the memory", 10, false);
  }

  private static Costs measure(int blocks, long seed, boolean quick) {
    int passes = Math.max(1, (quick ? 200_000 : 2_000_000) / blocks / PREDICATES);
    double recordings = (double) passes * blocks * PREDICATES;
    long usedBefore = usedBytes();
    BlockSummaries bitmaps = new BlockSummaries(1 << 20, 256, Long.MAX_VALUE);
    long startNanos = System.nanoTime();
    recordInBitmaps(bitmaps, passes, blocks, new SplittableRandom(seed));
    double bitmapRecordNs = (System.nanoTime() - startNanos) / recordings;
    long bitmapBytes = usedBytes() - usedBefore;

    usedBefore = usedBytes();
    Map<Integer, Map<String, Boolean>> maps = new HashMap<>();
    SplittableRandom random = new SplittableRandom(seed);
    startNanos = System.nanoTime();
    recordInMaps(maps, passes, blocks, random);
    double mapRecordNs = (System.nanoTime() - startNanos) / recordings;
    long mapBytes = usedBytes() - usedBefore;

    int lookUps = quick ? 500_000 : 5_000_000;
    startNanos = System.nanoTime();
    int emptyInBitmaps = lookUpInBitmaps(bitmaps, lookUps, blocks, random);
    double bitmapLookUpNs = (System.nanoTime() - startNanos) / (double) lookUps;
    startNanos = System.nanoTime();
    int emptyInMaps = lookUpInMaps(maps, lookUps, blocks, random);
    double mapLookUpNs = (System.nanoTime() - startNanos) / (double) lookUps;
    int difference = emptyInBitmaps - emptyInMaps;
    if (Math.abs(difference) > lookUps / 10) {
      throw new IllegalStateException(
          "look-ups in bitmaps and maps found different numbers of empty blocks: difference "
              + difference);
    }
    return new Costs(
        new Cost(bitmapBytes, bitmapRecordNs, bitmapLookUpNs),
        new Cost(mapBytes, mapRecordNs, mapLookUpNs));
  }

  private static void recordInBitmaps(
      BlockSummaries bitmaps, int passes, int blocks, SplittableRandom random) {
    for (int pass = 0; pass < passes; pass++) {
      for (int block = 0; block < blocks; block++) {
        for (int i = 0; i < PREDICATES; i++) {
          bitmaps.record(1, block, "v", FEATURES[i], random.nextInt(100) < EMPTY_PERCENT);
        }
      }
    }
  }

  private static void recordInMaps(
      Map<Integer, Map<String, Boolean>> maps, int passes, int blocks, SplittableRandom random) {
    for (int pass = 0; pass < passes; pass++) {
      for (int block = 0; block < blocks; block++) {
        for (int i = 0; i < PREDICATES; i++) {
          maps.computeIfAbsent(block, key -> new HashMap<>())
              .put(TEXTS[i], random.nextInt(100) < EMPTY_PERCENT);
        }
      }
    }
  }

  /** Returns the number of look-ups that found a block without matches. */
  private static int lookUpInBitmaps(
      BlockSummaries bitmaps, int lookUps, int blocks, SplittableRandom random) {
    int found = 0;
    for (int i = 0; i < lookUps; i++) {
      BlockSummaries.Hint hint = bitmaps.hint(2, random.nextInt(blocks), FEATURES[i % PREDICATES]);
      found += hint == BlockSummaries.Hint.NOTHING ? 1 : 0;
    }
    return found;
  }

  /** Returns the number of look-ups that found a block without matches. */
  private static int lookUpInMaps(
      Map<Integer, Map<String, Boolean>> maps, int lookUps, int blocks, SplittableRandom random) {
    int found = 0;
    for (int i = 0; i < lookUps; i++) {
      Boolean empty = maps.get(random.nextInt(blocks)).get(TEXTS[i % PREDICATES]);
      found += Boolean.TRUE.equals(empty) ? 1 : 0;
    }
    return found;
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}

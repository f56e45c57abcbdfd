package dunlinhitch.experiments.measurements;

import dunlinhitch.twophase.BlockSummaries;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * What blocks are known to have nothing of: bitmaps over blocks against a plain map for each block.
 */
final class SummariesMeasure implements Measures.Measure {
  private static final int PREDICATES = 16;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    int[] sizes = {100, 10_000, 1_000_000};
    out.printf(
        "%10s %16s %16s %14s %14s %14s %14s%n",
        "blocks",
        "bitmaps B/block",
        "map B/block",
        "tell ns",
        "map tell ns",
        "ask ns",
        "map ask ns");
    double ratio = 0;
    for (int size : sizes) {
      String[] texts = new String[PREDICATES];
      int[] features = new int[PREDICATES];
      for (int p = 0; p < PREDICATES; p++) {
        texts[p] = "altos " + p;
        features[p] = BlockSummaries.hash(texts[p]);
      }
      int passes = Math.max(1, (quick ? 200_000 : 2_000_000) / size / PREDICATES);
      SplittableRandom random = new SplittableRandom(seed);
      long before = used();
      BlockSummaries bitmaps = new BlockSummaries(1 << 20, 256, Long.MAX_VALUE);
      long from = System.nanoTime();
      for (int pass = 0; pass < passes; pass++) {
        for (int block = 0; block < size; block++) {
          for (int p = 0; p < PREDICATES; p++) {
            bitmaps.record(1, block, "v", features[p], random.nextInt(100) < 60);
          }
        }
      }
      double tell = (System.nanoTime() - from) / (double) passes / size / PREDICATES;
      long bitmapBytes = used() - before;
      before = used();
      Map<Integer, Map<String, Boolean>> plain = new HashMap<>();
      random = new SplittableRandom(seed);
      from = System.nanoTime();
      for (int pass = 0; pass < passes; pass++) {
        for (int block = 0; block < size; block++) {
          for (int p = 0; p < PREDICATES; p++) {
            plain
                .computeIfAbsent(block, b -> new HashMap<>())
                .put(texts[p], random.nextInt(100) < 60);
          }
        }
      }
      double plainTell = (System.nanoTime() - from) / (double) passes / size / PREDICATES;
      long plainBytes = used() - before;
      int asks = quick ? 500_000 : 5_000_000;
      int found = 0;
      from = System.nanoTime();
      for (int i = 0; i < asks; i++) {
        found +=
            bitmaps.hint(2, random.nextInt(size), features[i % PREDICATES])
                    == BlockSummaries.Hint.NOTHING
                ? 1
                : 0;
      }
      double ask = (System.nanoTime() - from) / (double) asks;
      from = System.nanoTime();
      for (int i = 0; i < asks; i++) {
        found -=
            Boolean.TRUE.equals(plain.get(random.nextInt(size)).get(texts[i % PREDICATES])) ? 1 : 0;
      }
      double plainAsk = (System.nanoTime() - from) / (double) asks;
      if (Math.abs(found) > asks / 10) {
        throw new IllegalStateException("the two do not agree: " + found);
      }
      ratio = (double) plainBytes / bitmapBytes;
      out.printf(
          Locale.ROOT,
          "%10d %16.1f %16.1f %14.1f %14.1f %14.1f %14.1f%n",
          size,
          (double) bitmapBytes / size,
          (double) plainBytes / size,
          tell,
          plainTell,
          ask,
          plainAsk);
    }
    out.println(
        PREDICATES + " predicates told of each block; bytes are of the heap after a collection");
    return new Measures.Verdict("map-by-bitmaps-at-1000000", ratio, "times the memory", 10, false);
  }

  private static long used() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}

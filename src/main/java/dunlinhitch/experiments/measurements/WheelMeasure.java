package dunlinhitch.experiments.measurements;

import dunlinhitch.endpoints.TimingWheel;
import java.io.PrintStream;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Compares the timing wheel with a binary heap for deadlines that are often postponed, as at every
 * refresh of a record.
 */
final class WheelMeasure implements Measures.Measure {
  private static final long TTL_US = 120_000_000;

  private static final class Entry implements Comparable<Entry> {
    private long dueUs;

    @Override
    public int compareTo(Entry other) {
      return Long.compare(dueUs, other.dueUs);
    }
  }

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    int[] sizes = {100, 10_000, 100_000};
    out.printf("%10s %14s %14s %12s%n", "records", "wheel ns/move", "heap ns/move", "heap/wheel");
    double[] wheel = new double[sizes.length];
    double ratio = 0;
    for (int i = 0; i < sizes.length; i++) {
      int moves = quick ? 200_000 : 2_000_000;
      // Warm-up run, so that the timed run uses compiled code.
      wheel(sizes[i], moves / 4, seed);
      wheel[i] = wheel(sizes[i], moves, seed);
      int heapMoves =
          Math.max(200, Math.min(moves, (quick ? 200_000_000 : 1_000_000_000) / sizes[i] / 10));
      heap(sizes[i], heapMoves / 4, seed);
      double heap = heap(sizes[i], heapMoves, seed);
      ratio = heap / wheel[i];
      out.printf(Locale.ROOT, "%10d %14.1f %14.1f %12.1f%n", sizes[i], wheel[i], heap, ratio);
    }
    return new Measures.Verdict("heap-by-wheel-at-100000", ratio, "times", 10, false);
  }

  /**
   * Postpones the deadlines of random records while the clock advances; returns the nanoseconds for
   * each postponement.
   */
  private static double wheel(int size, int moves, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    TimingWheel<Integer> wheel = new TimingWheel<>(0);
    java.util.List<TimingWheel.Handle<Integer>> handles = new java.util.ArrayList<>();
    for (int i = 0; i < size; i++) {
      handles.add(wheel.schedule(random.nextLong(TTL_US), i));
    }
    long nowUs = 0;
    long stepUs = Math.max(1, TTL_US / size / 2);
    int[] expired = {0};
    long startNanos = System.nanoTime();
    for (int i = 0; i < moves; i++) {
      int index = random.nextInt(size);
      wheel.cancel(handles.get(index));
      handles.set(index, wheel.schedule(nowUs + TTL_US, index));
      nowUs += stepUs;
      if (i % 64 == 0) {
        wheel.advance(
            nowUs,
            item -> {
              expired[0]++;
              handles.set(item, wheel.schedule(Long.MAX_VALUE / 2, item));
            });
      }
    }
    return (System.nanoTime() - startNanos) / (double) moves;
  }

  private static double heap(int size, int moves, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PriorityQueue<Entry> heap = new PriorityQueue<>();
    Entry[] entries = new Entry[size];
    for (int i = 0; i < size; i++) {
      entries[i] = new Entry();
      entries[i].dueUs = random.nextLong(TTL_US);
      heap.add(entries[i]);
    }
    long nowUs = 0;
    long stepUs = Math.max(1, TTL_US / size / 2);
    long startNanos = System.nanoTime();
    for (int i = 0; i < moves; i++) {
      Entry entry = entries[random.nextInt(size)];
      heap.remove(entry);
      entry.dueUs = nowUs + TTL_US;
      heap.add(entry);
      nowUs += stepUs;
      while (i % 64 == 0 && heap.peek().dueUs <= nowUs) {
        Entry expired = heap.poll();
        expired.dueUs = Long.MAX_VALUE / 2;
        heap.add(expired);
      }
    }
    return (System.nanoTime() - startNanos) / (double) moves;
  }
}

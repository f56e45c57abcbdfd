package dunlinhitch.experiments.measurements;

import dunlinhitch.endpoints.TimingWheel;
import java.io.PrintStream;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Lifetimes that are moved, as every refresh of a record does: the timing wheel against a heap. */
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
      wheel(sizes[i], moves / 4, seed); // compiled before it counts
      wheel[i] = wheel(sizes[i], moves, seed);
      int slower =
          Math.max(200, Math.min(moves, (quick ? 200_000_000 : 1_000_000_000) / sizes[i] / 10));
      heap(sizes[i], slower / 4, seed);
      double heap = heap(sizes[i], slower, seed);
      ratio = heap / wheel[i];
      out.printf(Locale.ROOT, "%10d %14.1f %14.1f %12.1f%n", sizes[i], wheel[i], heap, ratio);
    }
    return new Measures.Verdict("heap-by-wheel-at-100000", ratio, "times", 10, false);
  }

  /**
   * Every record's end is moved on, one after the other in any order, while the clock goes on;
   * nanoseconds a move.
   */
  private static double wheel(int size, int moves, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    TimingWheel<Integer> wheel = new TimingWheel<>(0);
    java.util.List<TimingWheel.Handle<Integer>> handles = new java.util.ArrayList<>();
    for (int i = 0; i < size; i++) {
      handles.add(wheel.schedule(random.nextLong(TTL_US), i));
    }
    long now = 0;
    long step = Math.max(1, TTL_US / size / 2);
    int[] rung = {0};
    long from = System.nanoTime();
    for (int i = 0; i < moves; i++) {
      int which = random.nextInt(size);
      wheel.cancel(handles.get(which));
      handles.set(which, wheel.schedule(now + TTL_US, which));
      now += step;
      if (i % 64 == 0) {
        wheel.advance(
            now,
            item -> {
              rung[0]++;
              handles.set(item, wheel.schedule(Long.MAX_VALUE / 2, item));
            });
      }
    }
    return (System.nanoTime() - from) / (double) moves;
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
    long now = 0;
    long step = Math.max(1, TTL_US / size / 2);
    long from = System.nanoTime();
    for (int i = 0; i < moves; i++) {
      Entry entry = entries[random.nextInt(size)];
      heap.remove(entry);
      entry.dueUs = now + TTL_US;
      heap.add(entry);
      now += step;
      while (i % 64 == 0 && heap.peek().dueUs <= now) {
        Entry over = heap.poll();
        over.dueUs = Long.MAX_VALUE / 2;
        heap.add(over);
      }
    }
    return (System.nanoTime() - from) / (double) moves;
  }
}

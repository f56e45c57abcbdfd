package dunlinhitch.core;

/**
 * How often each condition was met since the start. Written on the reducer's thread; not
 * thread-safe.
 */
public final class Counters {
  private final long[] counts = new long[Counter.values().length];

  void add(Counter counter, long times) {
    counts[index(counter)] += times;
  }

  void add(Counter counter) {
    add(counter, 1);
  }

  /** The present value of a counter. */
  public long get(Counter counter) {
    return counts[index(counter)];
  }

  // an array by ordinal keeps counting free of boxing; ordinals are neither stored nor sent
  @SuppressWarnings("EnumOrdinal")
  private static int index(Counter counter) {
    return counter.ordinal();
  }

  /** All counters, one line each: {@code label value}. */
  public String lines() {
    StringBuilder lines = new StringBuilder();
    for (Counter counter : Counter.values()) {
      lines.append(counter.label()).append(' ').append(get(counter)).append('\n');
    }
    return lines.toString();
  }
}

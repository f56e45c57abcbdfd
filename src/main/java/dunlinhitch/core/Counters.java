package dunlinhitch.core;

/** The values of all counters since the start. Owned by the reducer's thread; not thread-safe. */
public final class Counters {
  private final long[] counts = new long[Counter.values().length];

  void add(Counter counter, long times) {
    counts[index(counter)] += times;
  }

  void add(Counter counter) {
    add(counter, 1);
  }

  /** The current value of a counter. */
  public long get(Counter counter) {
    return counts[index(counter)];
  }

  // an array indexed by ordinal avoids boxing; ordinals are neither stored nor sent
  @SuppressWarnings("EnumOrdinal")
  private static int index(Counter counter) {
    return counter.ordinal();
  }

  /** Returns all counters, one per line as {@code label value}. */
  public String lines() {
    StringBuilder lines = new StringBuilder();
    for (Counter counter : Counter.values()) {
      lines.append(counter.label()).append(' ').append(get(counter)).append('\n');
    }
    return lines.toString();
  }
}

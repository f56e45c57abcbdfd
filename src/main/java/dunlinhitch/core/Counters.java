package dunlinhitch.core;

import java.util.Locale;

/** How often each thing has happened since the start. */
public final class Counters {
  private final long[] counts = new long[Counter.values().length];

  void add(Counter what, long times) {
    counts[what.ordinal()] += times;
  }

  void add(Counter what) {
    add(what, 1);
  }

  public long get(Counter what) {
    return counts[what.ordinal()];
  }

  /** A line for each, {@code name value}. */
  public String lines() {
    StringBuilder out = new StringBuilder();
    for (Counter what : Counter.values()) {
      out.append(what.name().toLowerCase(Locale.ROOT)).append(' ').append(get(what)).append('\n');
    }
    return out.toString();
  }
}

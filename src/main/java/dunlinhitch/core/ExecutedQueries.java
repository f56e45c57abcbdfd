package dunlinhitch.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of recent queries of which stores may have executed a part. A query whose id comes again
 * must not be executed a second time: each request of a client has a new id, also a retry.
 *
 * <p>Bounded in time and in number; the oldest ids are forgotten first. Owned by the reducer; not
 * thread-safe.
 */
public final class ExecutedQueries {
  /** Time for which an id is remembered after its query has ended, in microseconds. */
  public static final long RETENTION_US = 30_000_000;

  /** Maximum number of remembered ids. */
  static final int MAX_IDS = 16_384;

  /** The time until which each id is remembered, the earliest first. */
  private final Map<String, Long> untilUs = new LinkedHashMap<>();

  /** Remembers the id of a query that has ended. */
  void add(String id, long nowUs) {
    untilUs.remove(id);
    untilUs.put(id, nowUs + RETENTION_US);
    Iterator<Long> oldest = untilUs.values().iterator();
    while (oldest.next() <= nowUs || untilUs.size() > MAX_IDS) {
      oldest.remove();
    }
  }

  /** Returns true if stores may have executed a part of an earlier query with this id. */
  boolean contains(String id, long nowUs) {
    return untilUs.getOrDefault(id, Long.MIN_VALUE) > nowUs;
  }
}

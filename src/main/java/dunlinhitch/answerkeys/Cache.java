package dunlinhitch.answerkeys;

/**
 * A cache, which may evict any entry at any time. {@link LruCache} is the default; a caller may
 * adapt a cache of a library instead. Not thread-safe unless the implementation says so.
 */
public interface Cache<K, V> {
  /** Returns the cached value, or null where there is none. */
  V get(K key);

  /**
   * Caches the value in the place of an earlier one.
   *
   * @param bytes an estimate of the memory that the entry takes
   */
  void put(K key, V value, long bytes);

  /** Removes the entry, if there is one. */
  void remove(K key);

  /** The estimated bytes of all entries. */
  long bytes();
}

package dunlinhitch.answerkeys;

/**
 * A cache, which may evict any entry at any time. {@link LruCache} is the default implementation. A
 * caller may provide an adapter to the cache of a library instead. Not thread-safe unless the
 * implementation states otherwise.
 */
public interface Cache<K, V> {
  /** Returns the cached value, or null if there is none. */
  V get(K key);

  /**
   * Caches a value. Replaces an earlier value of the same key.
   *
   * @param bytes the estimated memory use of the entry
   */
  void put(K key, V value, long bytes);

  /** Removes the entry, if there is one. */
  void remove(K key);

  /** The estimated memory use of all entries in bytes. */
  long bytes();
}

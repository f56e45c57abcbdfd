package dunlinhitch.answerkeys;

/**
 * Where answers are kept for a while. An edge may put a cache of a library in the place of {@link
 * SimpleShelf}; it may drop what it likes.
 */
public interface Shelf<K, V> {
  /** Null where nothing is kept. */
  V get(K key);

  /** In the place of what was kept before. */
  void put(K key, V value, long bytes);

  void remove(K key);

  /** Of all that is kept. */
  long bytes();
}

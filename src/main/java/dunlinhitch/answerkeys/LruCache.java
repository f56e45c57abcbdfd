package dunlinhitch.answerkeys;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cache with a capacity in bytes, which evicts the least recently used entries. An entry that
 * exceeds the capacity by itself is not cached. Not thread-safe.
 */
public final class LruCache<K, V> implements Cache<K, V> {
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private record Entry<V>(V value, long bytes) {}

  private final long maxBytes;
  private final Map<K, Entry<V>> entries = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private long bytes;

  /** Creates an empty cache with the given capacity in bytes. */
  public LruCache(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public V get(K key) {
    Entry<V> entry = entries.get(key);
    return entry == null ? null : entry.value();
  }

  @Override
  public void put(K key, V value, long size) {
    remove(key);
    if (size > maxBytes) {
      return;
    }
    entries.put(key, new Entry<>(value, size));
    bytes += size;
    Iterator<Entry<V>> leastRecentlyUsed = entries.values().iterator();
    while (bytes > maxBytes) {
      bytes -= leastRecentlyUsed.next().bytes();
      leastRecentlyUsed.remove();
    }
  }

  @Override
  public void remove(K key) {
    Entry<V> removed = entries.remove(key);
    bytes -= removed == null ? 0 : removed.bytes();
  }

  @Override
  public long bytes() {
    return bytes;
  }
}

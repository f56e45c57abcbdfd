package dunlinhitch.answerkeys;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounded by bytes: what was used least recently goes first; what alone is over the bound is not
 * kept.
 */
public final class SimpleShelf<K, V> implements Shelf<K, V> {
  private record Weighed<V>(V value, long bytes) {}

  private final long most;
  private final Map<K, Weighed<V>> kept = new LinkedHashMap<>(16, 0.75f, true);
  private long bytes;

  public SimpleShelf(long mostBytes) {
    most = mostBytes;
  }

  @Override
  public V get(K key) {
    Weighed<V> found = kept.get(key);
    return found == null ? null : found.value();
  }

  @Override
  public void put(K key, V value, long size) {
    remove(key);
    if (size > most) {
      return;
    }
    kept.put(key, new Weighed<>(value, size));
    bytes += size;
    Iterator<Weighed<V>> oldest = kept.values().iterator();
    while (bytes > most) {
      bytes -= oldest.next().bytes();
      oldest.remove();
    }
  }

  @Override
  public void remove(K key) {
    Weighed<V> gone = kept.remove(key);
    bytes -= gone == null ? 0 : gone.bytes();
  }

  @Override
  public long bytes() {
    return bytes;
  }
}

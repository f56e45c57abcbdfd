package dunlinhitch.answerkeys;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LruCacheTest {
  @Test
  void leastRecentlyUsedEntriesAreEvictedBeyondTheCapacity() {
    LruCache<String, String> cache = new LruCache<>(10);
    cache.put("a", "1", 4);
    cache.put("b", "2", 4);
    cache.get("a");
    cache.put("c", "3", 4);
    cache.put("d", "4", 11);
    assertEquals(8, cache.bytes());
    assertEquals("1", cache.get("a"));
    assertEquals(null, cache.get("b"));
    assertEquals(null, cache.get("d"));
  }
}

package dunlinhitch.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is still to be told, and how often it was: what was told least often goes first, and what
 * was told often enough is news no more.
 */
final class UpdateQueue<T> {
  private final Map<T, Integer> told = new LinkedHashMap<>();

  void fresh(T item) {
    told.put(item, 0);
  }

  void allFresh(Collection<T> items) {
    told.clear();
    items.forEach(this::fresh);
  }

  void forget(T item) {
    told.remove(item);
  }

  /** So many at the most, the next first. */
  List<T> next(int most) {
    return told.entrySet().stream()
        .sorted(Map.Entry.comparingByValue())
        .limit(most)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** It rides on one word more, of so many. */
  void rides(T item, int times) {
    if (told.containsKey(item) && told.merge(item, 1, Integer::sum) >= times) {
      told.remove(item);
    }
  }
}

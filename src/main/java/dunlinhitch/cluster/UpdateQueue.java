package dunlinhitch.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that are still to be disseminated, with the number of messages that carried each: the
 * least transmitted go first, and one that was transmitted often enough is dropped.
 *
 * <p>Not thread-safe.
 */
final class UpdateQueue<T> {
  private final Map<T, Integer> transmissions = new LinkedHashMap<>();

  /** Queues an update as not transmitted yet. */
  void enqueue(T update) {
    transmissions.put(update, 0);
  }

  /** Queues these updates in place of all others. */
  void replaceAll(Collection<T> updates) {
    transmissions.clear();
    updates.forEach(this::enqueue);
  }

  /** Drops an update, if it is queued. */
  void remove(T update) {
    transmissions.remove(update);
  }

  /** At most {@code limit} updates, the least transmitted first. */
  List<T> leastTransmitted(int limit) {
    return transmissions.entrySet().stream()
        .sorted(Map.Entry.comparingByValue())
        .limit(limit)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Counts a message that carries the update; after {@code limit} messages it is dropped. */
  void recordTransmission(T update, int limit) {
    if (transmissions.containsKey(update)
        && transmissions.merge(update, 1, Integer::sum) >= limit) {
      transmissions.remove(update);
    }
  }
}

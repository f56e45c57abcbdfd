package dunlinhitch.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that are still to be disseminated, each with the number of messages that carried it.
 * The least transmitted go first, and an update that was transmitted often enough is dropped.
 *
 * <p>Not thread-safe.
 */
final class UpdateQueue<T> {
  private final Map<T, Integer> transmissions = new LinkedHashMap<>();

  /** Queues an update with a transmission count of 0. */
  void enqueue(T update) {
    transmissions.put(update, 0);
  }

  /** Replaces all queued updates by these. */
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

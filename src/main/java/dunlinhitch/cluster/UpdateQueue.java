package dunlinhitch.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A queue of updates to disseminate, each with the number of messages in which it was transmitted.
 * Updates with the fewest transmissions come first. An update is removed after the required number
 * of transmissions.
 *
 * <p>Not thread-safe.
 */
final class UpdateQueue<T> {
  private final Map<T, Integer> transmissions = new LinkedHashMap<>();

  /** Queues an update with a transmission count of 0. */
  void enqueue(T update) {
    transmissions.put(update, 0);
  }

  /** Replaces all queued updates by the given ones. */
  void replaceAll(Collection<T> updates) {
    transmissions.clear();
    updates.forEach(this::enqueue);
  }

  /** Removes an update, if it is queued. */
  void remove(T update) {
    transmissions.remove(update);
  }

  /** At most {@code limit} updates, those with the fewest transmissions first. */
  List<T> leastTransmitted(int limit) {
    return transmissions.entrySet().stream()
        .sorted(Map.Entry.comparingByValue())
        .limit(limit)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Counts one transmission of the update, and removes it after {@code limit} transmissions. */
  void recordTransmission(T update, int limit) {
    if (transmissions.containsKey(update)
        && transmissions.merge(update, 1, Integer::sum) >= limit) {
      transmissions.remove(update);
    }
  }
}

package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.EndpointClaim;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keys of claims that were persisted by an earlier process and are not yet confirmed by an answer,
 * grouped by the canonical name of their instance.
 */
final class RestoredClaims {
  /** Separates the instance name from the rest of a claim key. */
  private static final char KEY_SEPARATOR = '|';

  private final Map<String, Set<String>> keysByInstance = new HashMap<>();

  void add(Collection<String> keys) {
    for (String key : keys) {
      String instance = key.substring(0, Math.max(0, key.indexOf(KEY_SEPARATOR)));
      keysByInstance.computeIfAbsent(instance, absent -> new HashSet<>()).add(key);
    }
  }

  boolean isEmpty() {
    return keysByInstance.isEmpty();
  }

  void clear() {
    keysByInstance.clear();
  }

  /** Removes and returns the keys of one instance. */
  Set<String> remove(String instance) {
    Set<String> keys = keysByInstance.remove(instance);
    return keys == null ? Set.of() : keys;
  }

  /** Withdraws the claims of all instances that are no longer listed. */
  void withdrawUnlisted(Set<String> listed, long nowUs, List<EndpointClaim> withdrawals) {
    keysByInstance.forEach(
        (instance, keys) -> {
          if (!listed.contains(instance)) {
            keys.forEach(key -> withdrawals.add(EndpointClaim.withdrawal(key, nowUs)));
          }
        });
    keysByInstance.keySet().retainAll(listed);
  }
}

package dunlinhitch.endpoints;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Index of the claimed endpoints by address, used to detect endpoints with the same address.
 *
 * <p>Not thread-safe; owned by the registry.
 */
final class AddressIndex {
  private final Map<String, Set<EndpointRecord>> byAddress = new HashMap<>();

  /** The endpoints to reevaluate; this set is shared with the registry. */
  private final Set<EndpointRecord> pending;

  AddressIndex(Set<EndpointRecord> pending) {
    this.pending = pending;
  }

  /** Whether another endpoint has the same address as the given one, which must be in the index. */
  boolean isShared(EndpointRecord endpoint) {
    return byAddress.get(endpoint.address).size() > 1;
  }

  /** Removes an endpoint from the index. */
  void remove(EndpointRecord endpoint) {
    if (endpoint.address == null) {
      return;
    }
    Set<EndpointRecord> others = byAddress.get(endpoint.address);
    others.remove(endpoint);
    if (others.isEmpty()) {
      byAddress.remove(endpoint.address);
    } else if (others.size() == 1) {
      // The remaining endpoint no longer shares its address with another one.
      pending.addAll(others);
    }
    endpoint.address = null;
  }

  /** Sets the address of an endpoint. */
  void put(EndpointRecord endpoint, String address) {
    if (address.equals(endpoint.address)) {
      return;
    }
    remove(endpoint);
    endpoint.address = address;
    Set<EndpointRecord> others =
        byAddress.computeIfAbsent(address, unused -> new LinkedHashSet<>());
    others.add(endpoint);
    if (others.size() == 2) {
      // Both endpoints now share an address, so both are in conflict.
      pending.addAll(others);
    }
  }
}

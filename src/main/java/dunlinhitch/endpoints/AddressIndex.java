package dunlinhitch.endpoints;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which endpoints are claimed at which address, to find two names at one address.
 *
 * <p>Not thread-safe; the registry owns it.
 */
final class AddressIndex {
  private final Map<String, Set<EndpointRecord>> byAddress = new HashMap<>();

  /** Endpoints to evaluate again; the registry's own set. */
  private final Set<EndpointRecord> pending;

  AddressIndex(Set<EndpointRecord> pending) {
    this.pending = pending;
  }

  /** True where another endpoint is at the address of this one, which is in the index. */
  boolean isShared(EndpointRecord endpoint) {
    return byAddress.get(endpoint.address).size() > 1;
  }

  /** Takes an endpoint out of the index. */
  void remove(EndpointRecord endpoint) {
    if (endpoint.address == null) {
      return;
    }
    Set<EndpointRecord> others = byAddress.get(endpoint.address);
    others.remove(endpoint);
    if (others.isEmpty()) {
      byAddress.remove(endpoint.address);
    } else if (others.size() == 1) { // its conflict may have ended
      pending.addAll(others);
    }
    endpoint.address = null;
  }

  /** Moves an endpoint to that address. */
  void put(EndpointRecord endpoint, String address) {
    if (address.equals(endpoint.address)) {
      return;
    }
    remove(endpoint);
    endpoint.address = address;
    Set<EndpointRecord> others =
        byAddress.computeIfAbsent(address, unused -> new LinkedHashSet<>());
    others.add(endpoint);
    if (others.size() == 2) { // a conflict begins for both
      pending.addAll(others);
    }
  }
}

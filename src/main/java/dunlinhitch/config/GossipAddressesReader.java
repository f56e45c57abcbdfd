package dunlinhitch.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Config.ConfigException;
import dunlinhitch.config.GossipAddresses.Peer;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Reads {@link GossipAddresses} from the platform's file. */
final class GossipAddressesReader {
  /** Key of the other brokers' addresses. */
  static final String PEERS = "peers";

  /** Key of the address at which gossip messages to this broker are delivered. */
  static final String LISTEN = "peer_listen";

  private static final String ALL = "peers_all";
  private static final int MAX_PEERS = 1024;
  private static final Pattern ADDRESS = Pattern.compile(".+:[0-9]{1,5}");

  private GossipAddressesReader() {}

  /** Returns the addresses, or null if the file has none of the keys. */
  static GossipAddresses read(JsonObject root) {
    if (isEmpty(root.get(LISTEN)) && isEmpty(root.get(PEERS)) && isEmpty(root.get(ALL))) {
      return null;
    }
    try {
      return readAddresses(root);
    } catch (RuntimeException e) {
      // An error in these keys must not prevent the broker from starting. The JSON library also
      // throws unchecked exceptions for values of an unexpected type.
      return GossipAddresses.unusable(
          "gossip disabled, the platform's addresses cannot be used: "
              + String.valueOf(e.getMessage()).replaceAll("\\s+", " "));
    }
  }

  private static GossipAddresses readAddresses(JsonObject root) {
    if (!isAllowed(root)) {
      throw new ConfigException("gossip is disabled: Limits.PeerMessages is false");
    }
    JsonValue listen = root.get(LISTEN);
    if (isEmpty(listen)) {
      throw new ConfigException(LISTEN + " is missing");
    }
    JsonValue all = root.get(ALL);
    Address allAddress = isEmpty(all) ? null : address(ALL, all);
    Address listenAddress = address(LISTEN, listen);
    JsonValue peers = root.get(PEERS);
    return new GossipAddresses(
        listenAddress, isEmpty(peers) ? List.of() : peers(peers), allAddress, null);
  }

  private static boolean isEmpty(JsonValue value) {
    return value == null
        || value.isNull()
        || (value.isString() && value.asString().isEmpty())
        || (value.isArray() && value.asArray().isEmpty())
        || (value.isObject() && value.asObject().isEmpty());
  }

  /** Returns false only if {@code Limits.PeerMessages} is false; it is true by default. */
  private static boolean isAllowed(JsonObject root) {
    JsonValue limits = root.get("settings").asObject().get("Limits");
    return limits == null || limits.isNull() || limits.asObject().getBoolean("PeerMessages", true);
  }

  private static Address address(String key, JsonValue value) {
    if (!value.isString()) {
      throw new ConfigException(key + " must be HOST:PORT, not " + value);
    }
    Address address = Address.parse(key, value.asString());
    if (!address.isReachable()) {
      throw new ConfigException(
          key + " must be an IP address with a port, not " + value.asString());
    }
    return address;
  }

  /** Reads one entry or an array of entries. */
  private static List<Peer> peers(JsonValue value) {
    List<Peer> peers = new ArrayList<>();
    if (value.isArray()) {
      value.asArray().forEach(entry -> peers.addAll(peersOfEntry(entry)));
    } else {
      peers.addAll(peersOfEntry(value));
    }
    if (peers.size() > MAX_PEERS) {
      throw new ConfigException(PEERS + " has more than " + MAX_PEERS + " addresses");
    }
    return peers;
  }

  /**
   * Reads an entry: an address, an object with a name and an address, or an object of addresses by
   * name.
   */
  private static List<Peer> peersOfEntry(JsonValue entry) {
    if (!entry.isObject()) {
      return List.of(new Peer("", address(PEERS, entry)));
    }
    JsonObject object = entry.asObject();
    JsonValue name = object.get("name");
    List<Peer> peers =
        name != null && name.isString()
            ? peerWithName(name.asString(), object)
            : peersByName(object);
    if (peers.isEmpty()) {
      throw new ConfigException(PEERS + " has an entry without an address: " + entry);
    }
    return peers;
  }

  private static List<Peer> peersByName(JsonObject addresses) {
    List<Peer> peers = new ArrayList<>();
    for (JsonObject.Member member : addresses) {
      peers.add(new Peer(member.getName(), address(PEERS, member.getValue())));
    }
    return peers;
  }

  /** Uses the first member that is an address; other members, such as a zone, are ignored. */
  private static List<Peer> peerWithName(String name, JsonObject object) {
    for (JsonObject.Member member : object) {
      JsonValue value = member.getValue();
      if (value.isString() && ADDRESS.matcher(value.asString()).matches()) {
        return List.of(new Peer(name, address(PEERS, value)));
      }
    }
    return List.of();
  }
}

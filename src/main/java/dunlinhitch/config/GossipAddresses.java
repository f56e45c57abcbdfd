package dunlinhitch.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Config.ConfigException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * What the platform's configuration says of words between brokers: {@code peer_listen}, {@code
 * peers} and {@code peers_all}. It is only read: nothing is switched on by it. Keys that can not be
 * used must not keep a broker from its start, so {@code trouble} says what is wrong with them, and
 * the rest is empty then.
 *
 * @param listen where words are delivered, or null
 * @param peers where the others hear
 * @param all an address that stands for all of them, or null
 * @param trouble why it can not be used, in one line, or null
 */
public record GossipAddresses(Address listen, List<Known> peers, Address all, String trouble) {
  static final String PEERS = "peers";
  private static final String LISTEN = "peer_listen";
  private static final String ALL = "peers_all";
  private static final int MOST_PEERS = 1024;
  private static final Pattern ADDRESS = Pattern.compile(".+:[0-9]{1,5}");

  /** Another broker; its name is empty where it was not told. */
  public record Known(String name, Address at) {}

  public GossipAddresses {
    peers = List.copyOf(peers);
  }

  /** Null where the platform says nothing of it. */
  static GossipAddresses read(JsonObject root) {
    if (isEmpty(root.get(LISTEN)) && isEmpty(root.get(PEERS)) && isEmpty(root.get(ALL))) {
      return null;
    }
    try {
      if (!allowed(root)) {
        throw new ConfigException("the settings' Limits.PeerMessages allows none");
      }
      if (isEmpty(root.get(LISTEN))) {
        throw new ConfigException(LISTEN + " is missing");
      }
      Address all = isEmpty(root.get(ALL)) ? null : address(ALL, root.get(ALL));
      return new GossipAddresses(
          address(LISTEN, root.get(LISTEN)),
          isEmpty(root.get(PEERS)) ? List.of() : peers(root.get(PEERS)),
          all,
          null);
    } catch (RuntimeException e) {
      return new GossipAddresses(
          null,
          List.of(),
          null,
          "no words between brokers by the platform's addresses: "
              + String.valueOf(e.getMessage()).replaceAll("\\s+", " "));
    }
  }

  private static boolean isEmpty(JsonValue value) {
    return value == null
        || value.isNull()
        || (value.isString() && value.asString().isEmpty())
        || (value.isArray() && value.asArray().isEmpty())
        || (value.isObject() && value.asObject().isEmpty());
  }

  /** Settings that do not speak of it allow it, for the platform gave addresses. */
  private static boolean allowed(JsonObject root) {
    JsonValue limits = root.get("settings").asObject().get("Limits");
    return limits == null || limits.isNull() || limits.asObject().getBoolean("PeerMessages", true);
  }

  private static Address address(String what, JsonValue value) {
    if (!value.isString()) {
      throw new ConfigException(what + " is no HOST:PORT: " + value);
    }
    Address address = Address.parse(what, value.asString());
    if (!ProductReader.isIp(address.host()) || address.port() == 0) {
      throw new ConfigException(what + " is no IP address with a port: " + value.asString());
    }
    return address;
  }

  /**
   * One address, a list of them, or names that have one each; a list may hold objects with a name
   * and an address.
   */
  private static List<Known> peers(JsonValue value) {
    List<Known> peers = new ArrayList<>();
    if (value.isArray()) {
      value.asArray().forEach(item -> peers.addAll(peersOf(item)));
    } else {
      peers.addAll(peersOf(value));
    }
    if (peers.size() > MOST_PEERS) {
      throw new ConfigException(PEERS + " has over " + MOST_PEERS + " addresses");
    }
    return peers;
  }

  private static List<Known> peersOf(JsonValue item) {
    if (!item.isObject()) {
      return List.of(new Known("", address(PEERS, item)));
    }
    List<Known> peers = new ArrayList<>();
    JsonValue name = item.asObject().get("name");
    if (name == null || !name.isString()) {
      item.asObject()
          .forEach(
              member -> peers.add(new Known(member.getName(), address(PEERS, member.getValue()))));
    } else {
      for (JsonObject.Member member :
          item.asObject()) { // beside an address there may be a zone and the like
        if (peers.isEmpty()
            && member.getValue().isString()
            && ADDRESS.matcher(member.getValue().asString()).matches()) {
          peers.add(new Known(name.asString(), address(PEERS, member.getValue())));
        }
      }
    }
    if (peers.isEmpty()) {
      throw new ConfigException(PEERS + " has an entry without an address: " + item);
    }
    return peers;
  }

  /**
   * The product's own settings with the platform's addresses, where its {@code [fleet]} names none;
   * without usable ones it goes alone. Its own name among the peers is how the others reach it.
   */
  static Product placed(Product product, GossipAddresses talk, String name) {
    if (product.fleet() == null || product.fleet().listen() != null) {
      return product;
    }
    if (talk == null) {
      throw new ConfigException(
          "[fleet] names no listen, and there is no " + LISTEN + " here that could stand for it");
    }
    if (talk.listen == null) {
      return product.with(null);
    }
    Address reached =
        talk.peers.stream()
            .filter(one -> one.name().equals(name))
            .map(Known::at)
            .findFirst()
            .orElse(talk.listen);
    List<Address> others =
        talk.peers.stream().map(Known::at).filter(at -> !at.equals(reached)).toList();
    return product.with(
        product
            .fleet()
            .at(
                talk.listen,
                reached,
                others.isEmpty() && talk.all != null ? List.of(talk.all) : others));
  }
}

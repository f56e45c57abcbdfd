package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import java.util.List;

/**
 * The platform's addresses for gossip between brokers: its keys {@code peer_listen}, {@code peers}
 * and {@code peers_all}. They switch nothing on. Unusable keys do not keep a broker from starting:
 * {@code unusableReason} says what is wrong then, and there are no addresses.
 *
 * @param listen where gossip messages to this broker are delivered, or null
 * @param peers the other brokers, and possibly this one
 * @param all an address that stands for all of them, or null
 * @param unusableReason why the addresses can not be used, in one line, or null
 */
public record GossipAddresses(
    Address listen, List<Peer> peers, Address all, String unusableReason) {
  /**
   * One broker of the platform's list.
   *
   * @param name its name, empty if the platform gives none
   * @param address its address
   */
  public record Peer(String name, Address address) {}

  /** Copies the peers. */
  public GossipAddresses {
    peers = List.copyOf(peers);
  }

  static GossipAddresses unusable(String reason) {
    return new GossipAddresses(null, List.of(), null, reason);
  }
}

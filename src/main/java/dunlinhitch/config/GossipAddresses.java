package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import java.util.List;

/**
 * The platform's addresses for gossip between brokers, from the keys {@code peer_listen}, {@code
 * peers} and {@code peers_all}. They enable nothing by themselves. Invalid keys do not prevent a
 * broker from starting: the addresses are absent then, and {@code unusableReason} describes the
 * problem.
 *
 * @param listen address at which gossip messages to this broker are delivered, or null
 * @param peers the other brokers, and possibly this one
 * @param sharedAddress one address that reaches all of them, or null
 * @param unusableReason why the addresses cannot be used, as one line, or null
 */
public record GossipAddresses(
    Address listen, List<Peer> peers, Address sharedAddress, String unusableReason) {
  /**
   * One broker of the platform's list.
   *
   * @param name its name, empty if the platform does not provide one
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

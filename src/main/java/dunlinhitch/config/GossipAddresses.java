package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import java.util.List;

/**
 * The platform's addresses for gossip between brokers, from the keys {@code peer_listen}, {@code
 * peers} and {@code peers_all}. Gossip is enabled only by the section {@code [fleet]} of the
 * product's settings. If a key is invalid, the broker still starts: all addresses are absent, and
 * {@code unusableReason} describes the problem.
 *
 * @param listen address at which gossip messages to this broker are delivered, or null
 * @param peers the other brokers, and possibly this one
 * @param sharedAddress one address that reaches all brokers, or null
 * @param unusableReason one line that describes why the addresses cannot be used, or null if they
 *     can
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

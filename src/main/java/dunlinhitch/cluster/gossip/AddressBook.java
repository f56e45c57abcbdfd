package dunlinhitch.cluster.gossip;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The maximum datagram size, and the addresses with which datagrams may be exchanged. If the
 * addresses of all brokers are configured, datagrams from and to other addresses are dropped. A
 * configured address then also replaces the address in a received message, because an address that
 * is valid at the sender may not be valid at this broker. Immutable.
 */
public final class AddressBook {
  /** A configured address; the name of its broker may be empty. */
  public record BrokerAddress(String name, String host, int port) {}

  private final int maxDatagramBytes;
  private final Set<BrokerAddress> addresses = new HashSet<>();
  private final Map<String, BrokerAddress> byName = new HashMap<>();

  /**
   * Creates an address book.
   *
   * @param maxDatagramBytes the maximum size of a sent datagram, in bytes
   * @param configured the addresses of all brokers; empty if any address is allowed
   */
  public AddressBook(int maxDatagramBytes, List<BrokerAddress> configured) {
    this.maxDatagramBytes = maxDatagramBytes;
    for (BrokerAddress address : configured) {
      addresses.add(addressOnly(address.host(), address.port()));
      if (!address.name().isEmpty()) {
        byName.put(address.name(), address);
      }
    }
  }

  /** The maximum size of a sent datagram, in bytes. */
  public int maxDatagramBytes() {
    return maxDatagramBytes;
  }

  /**
   * Whether the addresses of the brokers are configured. If so, two brokers may legitimately have
   * different addresses for the same third broker.
   */
  public boolean isConfigured() {
    return !addresses.isEmpty();
  }

  /** Whether datagrams may be exchanged with the given address. */
  boolean permits(String host, int port) {
    return addresses.isEmpty() || addresses.contains(addressOnly(host, port));
  }

  private static BrokerAddress addressOnly(String host, int port) {
    // The result is null for a host name, because no DNS lookup is made.
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(host);
    return new BrokerAddress("", address == null ? host : address.getHostAddress(), port);
  }

  /**
   * Replaces the addresses in a received message if the addresses of the brokers are configured:
   * the sender's address by the one from which the message was received, and the addresses of other
   * members by the configured ones.
   */
  GossipMessage withLocalAddresses(GossipMessage message, String host, int port) {
    return addresses.isEmpty()
        ? message
        : new GossipMessage(
            message.kind(),
            withAddress(message.from(), host, port),
            message.sequenceNumber(),
            message.subject(),
            message.versions(),
            message.memberUpdates().stream().map(this::withConfiguredAddress).toList(),
            message.observations(),
            message.digest(),
            message.buckets(),
            message.suspicionReports());
  }

  private Member withConfiguredAddress(Member member) {
    BrokerAddress address = byName.get(member.name());
    return address == null ? member : withAddress(member, address.host(), address.port());
  }

  private static Member withAddress(Member member, String host, int port) {
    return new Member(
        member.name(), member.zone(), host, port, member.incarnation(), member.status());
  }
}

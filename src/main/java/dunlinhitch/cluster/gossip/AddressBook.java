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
 * How large a datagram may be, and which addresses datagrams are exchanged with. Where the
 * addresses of all brokers are configured, other addresses are neither accepted nor sent to, and a
 * configured address takes precedence over the one in a message, as each broker may reach the
 * others under different addresses. Immutable.
 */
public final class AddressBook {
  /** A configured address; the name of the broker there may be empty. */
  public record BrokerAddress(String name, String host, int port) {}

  private final int maxDatagramBytes;
  private final Set<BrokerAddress> addresses = new HashSet<>();
  private final Map<String, BrokerAddress> byName = new HashMap<>();

  /**
   * Creates an address book.
   *
   * @param mostBytes the largest datagram that may be sent
   * @param configured the addresses of all brokers; empty where any address is allowed
   */
  public AddressBook(int mostBytes, List<BrokerAddress> configured) {
    this.maxDatagramBytes = mostBytes;
    for (BrokerAddress address : configured) {
      addresses.add(addressOnly(address.host(), address.port()));
      if (!address.name().isEmpty()) {
        byName.put(address.name(), address);
      }
    }
  }

  /** The largest datagram that may be sent, in bytes. */
  public int maxDatagramBytes() {
    return maxDatagramBytes;
  }

  /**
   * True where the addresses are configured: then two brokers may rightly have different addresses
   * for the same third one.
   */
  public boolean isConfigured() {
    return !addresses.isEmpty();
  }

  /** True where datagrams may be exchanged with that address. */
  boolean permits(String host, int port) {
    return addresses.isEmpty() || addresses.contains(addressOnly(host, port));
  }

  private static BrokerAddress addressOnly(String host, int port) {
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(host); // never asks DNS
    return new BrokerAddress("", address == null ? host : address.getHostAddress(), port);
  }

  /** The message with the addresses that are valid here; it was received from that address. */
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

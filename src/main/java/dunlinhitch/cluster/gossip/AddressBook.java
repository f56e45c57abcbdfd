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
 * How large a datagram may be, and with whom one is exchanged. Where the others' addresses are all
 * told beforehand, one from elsewhere is a stranger's, none goes elsewhere, and a broker is spoken
 * to where it is told to be: an address may be another one for each broker, so what a word says of
 * it counts for less.
 */
public final class AddressBook {
  /** An address that was told; the name of who is there may be empty. */
  public record Known(String name, String host, int port) {}

  private final int mostBytes;
  private final Set<Known> places = new HashSet<>();
  private final Map<String, Known> byName = new HashMap<>();

  /** {@code known} empty: whoever speaks is heard, and may be spoken to. */
  public AddressBook(int mostBytes, List<Known> known) {
    this.mostBytes = mostBytes;
    for (Known one : known) {
      places.add(place(one.host(), one.port()));
      if (!one.name().isEmpty()) {
        byName.put(one.name(), one);
      }
    }
  }

  public int mostBytes() {
    return mostBytes;
  }

  /**
   * True where each broker is told the others' addresses: then two may rightly hold other ones for
   * the same broker.
   */
  public boolean isTold() {
    return !places.isEmpty();
  }

  boolean covers(String host, int port) {
    return places.isEmpty() || places.contains(place(host, port));
  }

  private static Known place(String host, int port) {
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(host); // looks nothing up
    return new Known("", address == null ? host : address.getHostAddress(), port);
  }

  /** The word with the addresses that hold here; it came from that one. */
  GossipMessage asSeenHere(GossipMessage word, String host, int port) {
    return places.isEmpty()
        ? word
        : new GossipMessage(
            word.kind(),
            at(word.from(), host, port),
            word.number(),
            word.about(),
            word.versions(),
            word.peers().stream().map(this::asToldHere).toList(),
            word.signals(),
            word.digest(),
            word.buckets(),
            word.doubts());
  }

  private Member asToldHere(Member peer) {
    Known told = byName.get(peer.name());
    return told == null ? peer : at(peer, told.host(), told.port());
  }

  private static Member at(Member peer, String host, int port) {
    return new Member(peer.name(), peer.zone(), host, port, peer.incarnation(), peer.status());
  }
}

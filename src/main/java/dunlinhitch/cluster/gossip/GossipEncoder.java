package dunlinhitch.cluster.gossip;

import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Encodes gossip messages as datagrams. A message that does not fit in one datagram is split into
 * several datagrams, each of which is a valid message by itself. Pure.
 */
final class GossipEncoder {
  /**
   * An encoded message.
   *
   * @param all the datagrams of the message; empty if the header does not fit
   * @param omittedItems the number of items that did not fit
   */
  record Datagrams(List<byte[]> all, int omittedItems) {}

  /** One item of a message. */
  private interface Item {
    /** Adds the item to a datagram; returns false if it does not fit. */
    boolean addTo(DatagramWriter writer);
  }

  private GossipEncoder() {}

  /**
   * Encodes a message. The first datagram has the kind of the message, the others are of kind
   * GOSSIP. Each datagram carries the digest, because any of them may be lost. The first datagram
   * contains the buckets, because it carries the sequence number that indicates the kind of
   * comparison. If the buckets leave no space for the versions, the versions are omitted, and a
   * later message carries them.
   *
   * @param maxBytes the maximum size of each datagram
   */
  static Datagrams encode(GossipMessage message, int maxBytes, int maxDatagrams) {
    List<byte[]> datagrams = new ArrayList<>();
    DatagramWriter writer = new DatagramWriter(maxBytes);
    if (!writeFirstHeader(writer, message)) {
      return new Datagrams(datagrams, itemCount(message));
    }
    GossipMessage continuation = continuationOf(message);
    int omitted = 0;
    // The first datagram is sent even if it contains no items.
    boolean first = true;
    for (Item item : items(message)) {
      boolean added = item.addTo(writer);
      if (!added && (first || writer.hasItems()) && datagrams.size() + 1 < maxDatagrams) {
        datagrams.add(writer.toDatagram());
        first = false;
        writer = new DatagramWriter(maxBytes);
        added = writer.writeHeader(continuation) && item.addTo(writer);
      }
      omitted += added ? 0 : 1;
    }
    if (first || writer.hasItems()) {
      datagrams.add(writer.toDatagram());
    }
    return new Datagrams(datagrams, omitted);
  }

  private static boolean writeFirstHeader(DatagramWriter writer, GossipMessage message) {
    return writer.writeHeader(message)
        || (!message.buckets().isEmpty() && writer.writeHeader(withoutVersions(message)));
  }

  private static int itemCount(GossipMessage message) {
    return message.memberUpdates().size()
        + message.observations().size()
        + message.suspicionReports().size();
  }

  /** The header of every datagram except the first. */
  private static GossipMessage continuationOf(GossipMessage message) {
    return new GossipMessage(
        GossipMessage.Kind.GOSSIP,
        message.from(),
        0,
        "",
        null,
        List.of(),
        List.of(),
        message.digest(),
        List.of(),
        List.of());
  }

  private static GossipMessage withoutVersions(GossipMessage message) {
    return new GossipMessage(
        message.kind(),
        message.from(),
        message.sequenceNumber(),
        message.subject(),
        null,
        message.memberUpdates(),
        message.observations(),
        message.digest(),
        message.buckets(),
        message.suspicionReports());
  }

  /**
   * The items in order of urgency: first the members that are not alive, so that they can refute
   * their status; then the suspicions; then observations and alive members alternately, so that
   * neither type displaces the other.
   */
  private static List<Item> items(GossipMessage message) {
    List<Item> items = new ArrayList<>();
    List<Member> alive = new ArrayList<>();
    for (Member member : message.memberUpdates()) {
      if (member.status() == Member.Status.ALIVE) {
        alive.add(member);
      } else {
        items.add(writer -> writer.addMember(member));
      }
    }
    message
        .suspicionReports()
        .forEach(suspicion -> items.add(writer -> writer.addSuspicion(suspicion)));
    Iterator<Member> members = alive.iterator();
    Iterator<EndpointObservation> observations = message.observations().iterator();
    while (members.hasNext() || observations.hasNext()) {
      if (observations.hasNext()) {
        EndpointObservation observation = observations.next();
        items.add(writer -> writer.addObservation(observation));
      }
      if (members.hasNext()) {
        Member member = members.next();
        items.add(writer -> writer.addMember(member));
      }
    }
    return items;
  }
}

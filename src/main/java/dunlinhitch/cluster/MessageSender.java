package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;

/**
 * Builds and sends the messages of one broker. Dissemination happens here: each message carries, as
 * far as its size limit allows, the member updates and suspicion reports that were transmitted
 * least often (piggybacking), each a number of times that grows with the logarithm of the cluster
 * size.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}.
 */
final class MessageSender {
  /** The maximum number of updates of each type in one message. */
  private static final int MAX_PIGGYBACKED = 12;

  /** Transmissions of one update per bit of the cluster size. */
  private static final int RETRANSMIT_MULTIPLIER = 3;

  private static final String NO_SUBJECT = "";

  private final MembershipProtocolSettings settings;
  private final MemberList members;
  private final SuspicionTable suspicions;
  private final UpdateQueue<String> updates;
  private final MembershipProtocol.Transport transport;
  private final IntFunction<List<EndpointObservation>> observations;
  private long lastSequenceNumber;

  /**
   * Creates a sender; {@code observations} returns the endpoint observations for a message with the
   * given number of bytes left.
   */
  MessageSender(
      MembershipProtocolSettings settings,
      MemberList members,
      UpdateQueue<String> updates,
      MembershipProtocol.Transport transport,
      IntFunction<List<EndpointObservation>> observations) {
    this.settings = settings;
    this.members = members;
    suspicions = members.suspicions();
    this.updates = updates;
    this.transport = transport;
    this.observations = observations;
  }

  /** A sequence number that no earlier message of this broker has. */
  long nextSequenceNumber() {
    return ++lastSequenceNumber;
  }

  /** Sends a message without a subject. */
  void send(Member to, GossipMessage.Kind kind, long sequenceNumber) {
    send(to, kind, sequenceNumber, NO_SUBJECT);
  }

  /** Sends a message; {@code subject} is the member that a ping-req or its ack is about. */
  void send(Member to, GossipMessage.Kind kind, long sequenceNumber, String subject) {
    send(to.host(), to.port(), kind, sequenceNumber, subject, List.of());
  }

  /** Sends a message that only carries updates. */
  void sendGossip(Member to) {
    send(to, GossipMessage.Kind.GOSSIP, 0);
  }

  /** Sends a join to the broker at the given address. */
  void sendJoin(MembershipProtocol.Seed address) {
    send(
        address.host(),
        address.port(),
        GossipMessage.Kind.JOIN,
        nextSequenceNumber(),
        NO_SUBJECT,
        List.of());
  }

  /**
   * Sends this broker's digest by bucket.
   *
   * @param exchange {@link GossipMessage#COMPARE} or {@link GossipMessage#COMPARED}
   */
  void sendBuckets(Member to, long exchange) {
    send(
        to.host(),
        to.port(),
        GossipMessage.Kind.GOSSIP,
        exchange,
        NO_SUBJECT,
        members.digestTable().buckets());
  }

  /** Creates a message with these members and without piggybacked updates, for anti-entropy. */
  GossipMessage page(List<Member> page) {
    return new GossipMessage(
        GossipMessage.Kind.GOSSIP,
        members.self(),
        0,
        NO_SUBJECT,
        members.selfVersions(),
        page,
        List.of(),
        members.announcedDigest(),
        List.of(),
        List.of());
  }

  /** Sends a message without adding piggybacked updates. */
  void sendUnchanged(Member to, GossipMessage message) {
    transport.send(to.host(), to.port(), message);
  }

  /** The maximum size of a page of members, in bytes. */
  int pageCapacityBytes() {
    return remainingBytes(List.of(), NO_SUBJECT);
  }

  private int remainingBytes(List<Long> buckets, String subject) {
    GossipMessage header =
        new GossipMessage(
            GossipMessage.Kind.GOSSIP,
            members.self(),
            0,
            subject,
            members.selfVersions(),
            List.of(),
            List.of(),
            members.digest(),
            buckets,
            List.of());
    return settings.maxMessageBytes() - header.bytes();
  }

  private void send(
      String host,
      int port,
      GossipMessage.Kind kind,
      long sequenceNumber,
      String subject,
      List<Long> buckets) {
    int remaining = remainingBytes(buckets, subject);
    int transmissions = RETRANSMIT_MULTIPLIER * (1 + bitLength(members.peers().size()));
    List<Member> memberUpdates = nextMemberUpdates(host, port, remaining, transmissions);
    for (Member update : memberUpdates) {
      remaining -= update.bytes();
    }
    List<SuspicionReport> reports =
        suspicions.nextReports(MAX_PIGGYBACKED, remaining, transmissions);
    for (SuspicionReport report : reports) {
      remaining -= report.bytes();
    }
    transport.send(
        host,
        port,
        new GossipMessage(
            kind,
            members.self(),
            sequenceNumber,
            subject,
            members.selfVersions(),
            memberUpdates,
            observations.apply(remaining),
            members.announcedDigest(),
            buckets,
            reports));
  }

  /**
   * The updates for one message. If the recipient itself is not alive in the member list, its own
   * entry comes first, so that it can refute it.
   */
  private List<Member> nextMemberUpdates(String host, int port, int maxBytes, int transmissions) {
    Set<String> candidates = new LinkedHashSet<>();
    String recipient = members.notAlivePeerAt(host, port);
    if (recipient != null) {
      candidates.add(recipient);
    }
    candidates.addAll(updates.leastTransmitted(MAX_PIGGYBACKED));
    int remaining = maxBytes;
    List<Member> chosen = new ArrayList<>();
    for (String name : candidates) {
      Member peer = members.peer(name);
      if (peer.bytes() <= remaining) {
        remaining -= peer.bytes();
        chosen.add(peer);
        updates.recordTransmission(name, transmissions);
      }
    }
    return chosen;
  }

  /** The number of bits of a positive number: its logarithm to base two, rounded down, plus one. */
  static int bitLength(int number) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(number);
  }
}

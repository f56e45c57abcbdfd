package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;

/**
 * Builds and sends the messages of one broker. Updates are disseminated by piggybacking: each
 * message carries the member updates and suspicion reports that have been transmitted least often,
 * up to its size limit. The number of transmissions of each update grows with the logarithm of the
 * cluster size.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}.
 */
final class MessageSender {
  /** The maximum number of updates of each type in one message. */
  private static final int MAX_PIGGYBACKED = 12;

  /**
   * Factor by which the bit length of the cluster size is multiplied to get the number of
   * transmissions of an update.
   */
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
   * Creates a sender. The argument {@code observations} is a function that returns the endpoint
   * observations for a message, given the number of free bytes in it.
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

  /** Returns a sequence number that this broker has not used before. */
  long nextSequenceNumber() {
    return ++lastSequenceNumber;
  }

  /** Sends a message without a subject. */
  void send(Member to, GossipMessage.Kind kind, long sequenceNumber) {
    send(to, kind, sequenceNumber, NO_SUBJECT);
  }

  /**
   * Sends a message; {@code subject} is the member that is the target of a ping-req, or whose ack
   * is relayed.
   */
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
   * Sends the sums of this broker's buckets for a comparison of digests.
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

  /**
   * Creates a message for anti-entropy that carries the given members and no piggybacked updates.
   */
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
   * Returns the member updates for one message. If the member list contains the recipient as
   * suspected, dead or left, this entry comes first, so that the recipient can refute it.
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

  /** The number of bits of a positive number: the floor of its binary logarithm, plus one. */
  static int bitLength(int number) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(number);
  }
}

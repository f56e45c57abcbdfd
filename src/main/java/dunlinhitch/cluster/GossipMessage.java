package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.List;

/**
 * One message between brokers, sent as one datagram.
 *
 * @param kind what it asks for
 * @param from the sender as it announces itself
 * @param sequenceNumber the sequence number of the ping that it belongs to, which an ack repeats;
 *     with buckets {@link #COMPARE} or {@link #COMPARED}
 * @param subject the member to ping, for {@link QueryClass#PING_REQUEST}; for the ack of one the
 *     member that acked; else empty
 * @param versions the versions that the sender acts on, or null
 * @param memberUpdates piggybacked updates of members
 * @param observations piggybacked observations of endpoints
 * @param digest the digest of the sender's member list; 0: not announced
 * @param buckets the sums that the digest consists of, where digests are compared; else empty
 * @param suspicionReports piggybacked suspicion reports
 */
public record GossipMessage(
    Kind kind,
    Member from,
    long sequenceNumber,
    String subject,
    VersionVector versions,
    List<Member> memberUpdates,
    List<EndpointObservation> observations,
    long digest,
    List<Long> buckets,
    List<SuspicionReport> suspicionReports) {
  /** Number of a message with buckets that asks for the differing members and for buckets. */
  static final long COMPARE = 1;

  /** Number of a message with buckets that asks for the differing members only. */
  static final long COMPARED = 2;

  /** Bytes of the kind, flags and counts. */
  private static final int FIXED_BYTES = 8;

  /** The kinds of messages; the names and their order are part of the wire format. */
  public enum Kind {
    /** Asks for an ack. */
    PING,
    /** Answers a ping or a join. */
    ACK,
    /** Asks the recipient to ping a third member. */
    PING_REQUEST,
    /** Asks for an ack and for all members. */
    JOIN,
    /** The sender leaves. */
    LEAVE,
    /** Carries updates only. */
    GOSSIP
  }

  /** Copies the lists. */
  public GossipMessage {
    memberUpdates = List.copyOf(memberUpdates);
    observations = List.copyOf(observations);
    buckets = List.copyOf(buckets);
    suspicionReports = List.copyOf(suspicionReports);
  }

  /** A message without a digest, buckets or suspicion reports. */
  public GossipMessage(
      Kind kind,
      Member from,
      long sequenceNumber,
      String subject,
      VersionVector versions,
      List<Member> memberUpdates,
      List<EndpointObservation> observations) {
    this(
        kind,
        from,
        sequenceNumber,
        subject,
        versions,
        memberUpdates,
        observations,
        0,
        List.of(),
        List.of());
  }

  /** About the bytes of its encoding: texts by their length, numbers in full. */
  public int bytes() {
    return FIXED_BYTES
        + 2 * Long.BYTES
        + from.bytes()
        + subject.length()
        + Long.BYTES * buckets.size()
        + versionsBytes()
        + memberUpdates.stream().mapToInt(Member::bytes).sum()
        + observations.stream().mapToInt(EndpointObservation::bytes).sum()
        + suspicionReports.stream().mapToInt(SuspicionReport::bytes).sum();
  }

  private int versionsBytes() {
    if (versions == null) {
      return 0;
    }
    return versions.build().length() + versions.settings().length() + 2 * Long.BYTES;
  }
}

package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.List;

/**
 * One message between brokers, sent as one or more datagrams.
 *
 * @param kind the kind of message
 * @param from the sender as it announces itself
 * @param sequenceNumber the sequence number of a ping, which the ack repeats; in a message with
 *     buckets, {@link #COMPARE} or {@link #COMPARED}
 * @param subject in a {@link Kind#PING_REQUEST} the member to ping, in a relayed ack the member
 *     that acked; otherwise empty
 * @param versions the versions that the sender runs with, or null
 * @param memberUpdates piggybacked updates of members
 * @param observations piggybacked observations of endpoints
 * @param digest the digest of the sender's member list; 0 if it is not announced
 * @param buckets in a comparison of digests, the sums of the sender's buckets; otherwise empty
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
  /**
   * As the sequence number of a message with buckets, asks the recipient to reply with its own
   * buckets, and with its members from the buckets that differ.
   */
  static final long COMPARE = 1;

  /**
   * As the sequence number of a message with buckets, asks the recipient to reply only with its
   * members from the buckets that differ.
   */
  static final long COMPARED = 2;

  /** The size of the kind, the flags and the counts in bytes. */
  private static final int FIXED_BYTES = 8;

  /** The kinds of messages; the names and their order are part of the wire format. */
  public enum Kind {
    /** Requests an ack. */
    PING,
    /** Acknowledges a ping or a join. */
    ACK,
    /** Asks the recipient to ping a third member. */
    PING_REQUEST,
    /** Requests an ack and the complete member list. */
    JOIN,
    /** Announces that the sender leaves. */
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

  /** Creates a message without a digest, buckets or suspicion reports. */
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

  /**
   * The approximate size of the encoded message in bytes. Strings count with their lengths, numbers
   * with their full widths.
   */
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

package dunlinhitch.cluster;

import dunlinhitch.cluster.versions.VersionVector;
import java.util.List;

/**
 * What one broker says to another, in one datagram.
 *
 * @param kind what it wants
 * @param from who says it
 * @param number the look it belongs to; an answer repeats it. With buckets {@link #COMPARE} or
 *     {@link #COMPARED}
 * @param about whom to ask, for {@link Kind#PING_REQUEST}; for the answer to it whom the answer is
 *     of; else empty
 * @param versions what who says it acts on, or null
 * @param peers what is held of brokers
 * @param signals what was seen of stores
 * @param digest of the members that who says it holds; 0: it does not tell
 * @param buckets the sums that the digest is made of, where it is compared; else empty
 * @param doubts who found whom not to answer
 */
public record GossipMessage(
    Kind kind,
    Member from,
    long number,
    String about,
    VersionVector versions,
    List<Member> peers,
    List<EndpointObservation> signals,
    long digest,
    List<Long> buckets,
    List<SuspicionReport> doubts) {
  /** With buckets: here are mine, tell what differs and yours. */
  static final long COMPARE = 1;

  /** With buckets: here are mine, tell what differs. */
  static final long COMPARED = 2;

  /**
   * LOOK: are you there. THERE: I am. ASK: look at that one for me. JOIN: the same as LOOK, and
   * tell me of all. LEAVE: I end. NEWS: only what rides on it.
   */
  public enum Kind {
    PING,
    ACK,
    PING_REQUEST,
    JOIN,
    LEAVE,
    GOSSIP
  }

  public GossipMessage {
    peers = List.copyOf(peers);
    signals = List.copyOf(signals);
    buckets = List.copyOf(buckets);
    doubts = List.copyOf(doubts);
  }

  /** A word of a broker that tells no digest. */
  public GossipMessage(
      Kind kind,
      Member from,
      long number,
      String about,
      VersionVector versions,
      List<Member> peers,
      List<EndpointObservation> signals) {
    this(kind, from, number, about, versions, peers, signals, 0, List.of(), List.of());
  }

  /** About what it comes to in a compact form, in bytes: texts by their length, numbers in full. */
  public int bytes() {
    return 8
        + 2 * Long.BYTES
        + from.bytes()
        + about.length()
        + Long.BYTES * buckets.size()
        + (versions == null
            ? 0
            : versions.build().length() + versions.settings().length() + 2 * Long.BYTES)
        + peers.stream().mapToInt(Member::bytes).sum()
        + signals.stream().mapToInt(EndpointObservation::bytes).sum()
        + doubts.stream().mapToInt(SuspicionReport::bytes).sum();
  }
}

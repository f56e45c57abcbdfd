package dunlinhitch.cluster;

/**
 * One broker as the others know it.
 *
 * @param name its name, the same after a restart
 * @param zone its zone, or empty
 * @param host the host at which it receives messages
 * @param port the port at which it receives messages
 * @param incarnation a number that only the broker itself raises, to refute what is said of it; a
 *     restart begins with a higher one
 * @param status its status as last merged
 */
public record Member(
    String name, String zone, String host, int port, long incarnation, Status status) {
  /**
   * The highest valid incarnation. Incarnations begin with the start time in milliseconds, so it is
   * never reached in regular operation.
   */
  static final long MAX_INCARNATION = 1_000_000_000_000_000L;

  /** Higher incarnations are not accepted from others, so that each can still be refuted. */
  private static final long MAX_ACCEPTED_INCARNATION = MAX_INCARNATION / 2;

  private static final int MAX_PORT = 65_535;

  /** Bytes of the port, the status and the lengths of the three texts. */
  private static final int FIXED_BYTES = 6;

  /**
   * Of two statuses under one incarnation the later constant wins. The order of the constants is
   * part of the wire format.
   */
  public enum Status {
    /** It answers pings. */
    ALIVE,
    /** It did not answer, but may refute that; it still takes part. */
    SUSPECT,
    /** It did not refute a suspicion in time. */
    DEAD,
    /** It announced that it leaves. */
    LEFT
  }

  /** Checks that there is a name and an address, and that the incarnation is in its range. */
  public Member {
    if (name.isEmpty()
        || host.isEmpty()
        || port < 1
        || port > MAX_PORT
        || incarnation < 0
        || incarnation > MAX_INCARNATION) {
      throw new IllegalArgumentException(
          "a broker has a name, an address and an incarnation from 0 to 1e15: "
              + name
              + " at "
              + host
              + ":"
              + port
              + ", "
              + incarnation);
    }
  }

  /** Whether it counts as a member; a suspect one does. */
  public boolean takesPart() {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }

  /** The same with another status. */
  Member as(Status other) {
    return new Member(name, zone, host, port, incarnation, other);
  }

  /** The same, alive under another incarnation. */
  Member in(long other) {
    return new Member(name, zone, host, port, other, Status.ALIVE);
  }

  /** Whether that is its address. */
  boolean isAt(String otherHost, int otherPort) {
    return port == otherPort && host.equals(otherHost);
  }

  /** Whether its broker could still refute it, or need not. */
  boolean isBelievable() {
    return incarnation < MAX_ACCEPTED_INCARNATION
        || (incarnation == MAX_ACCEPTED_INCARNATION && status == Status.ALIVE);
  }

  /** About the bytes that it takes in a message. */
  int bytes() {
    return name.length() + zone.length() + host.length() + FIXED_BYTES + Long.BYTES;
  }

  /**
   * Whether this replaces the other of the same name: the higher incarnation wins; of the same
   * incarnation the higher address, where two brokers started with one name at once; then the later
   * {@link Status}. The order is total, so brokers that merge the same updates in any order agree.
   */
  boolean replaces(Member other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    int address =
        host.equals(other.host) ? Integer.compare(port, other.port) : host.compareTo(other.host);
    return address != 0 ? address > 0 : status.compareTo(other.status) > 0;
  }
}

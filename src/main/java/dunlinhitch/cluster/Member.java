package dunlinhitch.cluster;

/**
 * One broker as the others know it.
 *
 * @param name its name, the same after a restart
 * @param zone its zone, or empty
 * @param host the host at which it receives messages
 * @param port the port at which it receives messages
 * @param incarnation a number that only the broker itself raises, to refute updates of others about
 *     it; a restart begins with a higher one
 * @param status its status as last merged
 */
public record Member(
    String name, String zone, String host, int port, long incarnation, Status status) {
  /**
   * The highest valid incarnation. Incarnations begin with the start time in milliseconds, so it is
   * never reached in regular operation.
   */
  static final long MAX_INCARNATION = 1_000_000_000_000_000L;

  /** The highest incarnation accepted from other brokers, so that each can still be refuted. */
  private static final long MAX_ACCEPTED_INCARNATION = MAX_INCARNATION / 2;

  private static final int MAX_PORT = 65_535;

  /** Bytes of the port, the status and the lengths of the three texts. */
  private static final int FIXED_BYTES = 6;

  /**
   * Of two statuses with the same incarnation, the later constant wins. The order of the constants
   * is part of the wire format.
   */
  public enum Status {
    /** It answers pings. */
    ALIVE,
    /** It did not answer pings, but may refute the suspicion; it still takes part. */
    SUSPECT,
    /** It did not refute a suspicion in time. */
    DEAD,
    /** It announced that it leaves. */
    LEFT
  }

  /** Checks that the name and address are present and the incarnation is within its range. */
  public Member {
    if (name.isEmpty()
        || host.isEmpty()
        || port < 1
        || port > MAX_PORT
        || incarnation < 0
        || incarnation > MAX_INCARNATION) {
      throw new IllegalArgumentException(
          "a member needs a name, a host, a port from 1 to 65535 and an incarnation "
              + "from 0 to 1e15: got "
              + name
              + " at "
              + host
              + ":"
              + port
              + ", incarnation "
              + incarnation);
    }
  }

  /** Whether it counts as a member, as it does while alive or suspected. */
  public boolean takesPart() {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }

  /** Returns a copy with the given status. */
  Member withStatus(Status other) {
    return new Member(name, zone, host, port, incarnation, other);
  }

  /** Returns a copy that is alive with the given incarnation. */
  Member aliveWithIncarnation(long other) {
    return new Member(name, zone, host, port, other, Status.ALIVE);
  }

  /** Whether the member has the given address. */
  boolean isAt(String otherHost, int otherPort) {
    return port == otherPort && host.equals(otherHost);
  }

  /** Whether its broker can still refute this state, or has no need to. */
  boolean isAcceptable() {
    return incarnation < MAX_ACCEPTED_INCARNATION
        || (incarnation == MAX_ACCEPTED_INCARNATION && status == Status.ALIVE);
  }

  /** The approximate size in a message, in bytes. */
  int bytes() {
    return name.length() + zone.length() + host.length() + FIXED_BYTES + Long.BYTES;
  }

  /**
   * Whether this state replaces another one of the same name. The higher incarnation wins; with
   * equal incarnations the higher address, in case two brokers started with the same name at the
   * same time; then the later {@link Status}. The order is total, so brokers that merge the same
   * updates in any order agree.
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

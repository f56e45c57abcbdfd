package dunlinhitch.cluster;

/**
 * The state of one broker, as disseminated among the members.
 *
 * @param name the broker's name, the same after a restart
 * @param zone the broker's zone, or empty
 * @param host the host at which the broker receives messages
 * @param port the port at which the broker receives messages
 * @param incarnation a number that only the broker itself raises, to refute what others state about
 *     it; after a restart it is higher than before
 * @param status the broker's status as last merged
 */
public record Member(
    String name, String zone, String host, int port, long incarnation, Status status) {
  /**
   * The highest valid incarnation. An incarnation begins as the start time in milliseconds, so this
   * limit is never reached in regular operation.
   */
  static final long MAX_INCARNATION = 1_000_000_000_000_000L;

  /**
   * The highest incarnation accepted from other brokers. It is below the maximum so that every
   * accepted incarnation can be refuted by a higher one.
   */
  private static final long MAX_ACCEPTED_INCARNATION = MAX_INCARNATION / 2;

  private static final int MAX_PORT = 65_535;

  /** The size of the port, the status and the lengths of the three texts in bytes. */
  private static final int FIXED_BYTES = 6;

  /**
   * The statuses of a member. Of two statuses with the same incarnation, the one whose constant
   * comes later in this enum wins. The order of the constants is part of the wire format.
   */
  public enum Status {
    /** The broker answers pings. */
    ALIVE,
    /**
     * The broker did not answer pings. It still counts as a member and may refute the suspicion.
     */
    SUSPECT,
    /** The broker did not refute a suspicion in time. */
    DEAD,
    /** The broker announced that it leaves the cluster. */
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

  /** Whether the broker counts as a member: it is alive or suspected. */
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

  /**
   * Whether this state may be accepted from other brokers: either the broker can still refute it
   * with a higher incarnation, or the state is alive and needs no refutation.
   */
  boolean isAcceptable() {
    return incarnation < MAX_ACCEPTED_INCARNATION
        || (incarnation == MAX_ACCEPTED_INCARNATION && status == Status.ALIVE);
  }

  /** The approximate size of the encoded member in bytes. */
  int bytes() {
    return name.length() + zone.length() + host.length() + FIXED_BYTES + Long.BYTES;
  }

  /**
   * Whether this state replaces another state of the same name. The higher incarnation wins. If the
   * incarnations are equal, the higher address wins, which decides between two brokers that started
   * with the same name at the same time. If the addresses are equal too, the {@link Status} whose
   * constant comes later in the enum wins. The order is total, so brokers agree after merging the
   * same updates in any order.
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

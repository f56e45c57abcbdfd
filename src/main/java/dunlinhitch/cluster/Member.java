package dunlinhitch.cluster;

/**
 * One broker as the others know it.
 *
 * @param name its name, the same after a restart
 * @param zone where it stands, or empty
 * @param host where it hears the others
 * @param port the same
 * @param incarnation its own count: it alone raises it, to gainsay what is said of it, and it
 *     starts later than it ended
 * @param status what is held of it
 */
public record Member(
    String name, String zone, String host, int port, long incarnation, Status status) {
  /**
   * Incarnations are times of a start in milliseconds and a few: beyond this nobody could gainsay
   * one.
   */
  static final long MOST_INCARNATION = 1_000_000_000_000_000L;

  /** What others say is believed up to here, so that there is room to gainsay it. */
  private static final long MOST_BELIEVED = MOST_INCARNATION / 2;

  /** LEFT: it said itself that it ends. */
  public enum Status {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
  }

  public Member {
    if (name.isEmpty()
        || host.isEmpty()
        || port < 1
        || port > 65_535
        || incarnation < 0
        || incarnation > MOST_INCARNATION) {
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

  /** True of one that takes part: what is only suspected still counts. */
  public boolean takesPart() {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }

  Member as(Status other) {
    return new Member(name, zone, host, port, incarnation, other);
  }

  Member in(long other) {
    return new Member(name, zone, host, port, other, Status.ALIVE);
  }

  boolean isAt(String otherHost, int otherPort) {
    return port == otherPort && host.equals(otherHost);
  }

  /** Whether it could still be gainsaid, or need not be. */
  boolean isBelievable() {
    return incarnation < MOST_BELIEVED || (incarnation == MOST_BELIEVED && status == Status.ALIVE);
  }

  int bytes() {
    return name.length() + zone.length() + host.length() + 6 + Long.BYTES;
  }

  /**
   * Whether this stands in place of the other of the same name: what is of a later incarnation; of
   * the same, at the higher address (two that took one name at once); of the same there, and worse.
   * The order is total, so brokers that heard the same in any order hold the same.
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

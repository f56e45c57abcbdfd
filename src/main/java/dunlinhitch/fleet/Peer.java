package dunlinhitch.fleet;

/**
 * One broker as the others know it.
 *
 * @param name its name, the same after a restart
 * @param zone where it stands, or empty
 * @param host where it hears the others
 * @param port the same
 * @param incarnation its own count: it alone raises it, to gainsay what is said of it, and it starts later than it ended
 * @param status what is held of it
 */
public record Peer(String name, String zone, String host, int port, long incarnation, Status status) {
    /** Incarnations are times of a start in milliseconds and a few: beyond this nobody could gainsay one. */
    static final long MOST_INCARNATION = 1_000_000_000_000_000L;

    /** LEFT: it said itself that it ends. */
    public enum Status { ALIVE, SUSPECT, DEAD, LEFT }

    public Peer {
        if (name.isEmpty() || host.isEmpty() || port < 1 || port > 65_535 || incarnation < 0
                || incarnation > MOST_INCARNATION) {
            throw new IllegalArgumentException("a broker has a name, an address and an incarnation from 0 to 1e15: " + name + " at "
                    + host + ":" + port + ", " + incarnation);
        }
    }

    /** True of one that takes part: what is only suspected still counts. */
    public boolean takesPart() {
        return status == Status.ALIVE || status == Status.SUSPECT;
    }

    Peer as(Status other) {
        return new Peer(name, zone, host, port, incarnation, other);
    }

    Peer in(long other) {
        return new Peer(name, zone, host, port, other, Status.ALIVE);
    }

    /**
     * Whether this stands in place of the other of the same name: what is of a later incarnation, or of the same and worse. The order is
     * total up to the address, so brokers that heard the same in any order hold the same.
     */
    boolean replaces(Peer other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : status.compareTo(other.status) > 0;
    }
}

package dunlinhitch.membership;

import dunlinhitch.decide.Routing.ServerState;

/** One calendar store as its sources have it; {@code startedUs} (Unix time in microseconds) 0: long ago. */
public record StoreEntry(String name, String host, int port, int zone, int cell, ServerState state, double weight,
        long startedUs, StoreWire wire) {
    /** What a store speaks. */
    public enum StoreWire { FRAMES, FLIGHT }

    /** True where both are reached in the same way. */
    public boolean sameAddress(StoreEntry other) {
        return host.equals(other.host) && port == other.port && wire == other.wire;
    }

    public StoreEntry in(ServerState other) {
        return other == state ? this : new StoreEntry(name, host, port, zone, cell, other, weight, startedUs, wire);
    }

    public StoreEntry startedAt(long us) {
        return us == startedUs ? this : new StoreEntry(name, host, port, zone, cell, state, weight, us, wire);
    }
}

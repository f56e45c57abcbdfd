package dunlinhitch.balancer;

/** One line of the server list; {@code startedUs} 0: a long time ago. */
public record ServerEntry(
    int id, int zone, int cell, ServerState state, double size, long startedUs) {}

package dunlinhitch.balancer;

/**
 * One server of the server list.
 *
 * @param cell the group of servers that hold the same shards
 * @param size capacity relative to other servers
 * @param startedUs when its process started, in microseconds; 0 if long ago
 */
public record ServerEntry(
    int id, int zone, int cell, ServerState state, double size, long startedUs) {}

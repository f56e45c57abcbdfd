package dunlinhitch.experiments.memory;

import java.util.List;

/**
 * One run.
 *
 * @param shapes the crowds, one after the other
 * @param seconds duration of each crowd
 * @param memoryMb memory limit of the broker in MB
 * @param sockets descriptor limit of the broker
 * @param crowdSize number of connections of each crowd
 * @param minPauseMs minimum time between two writes of one connection
 * @param maxPauseMs maximum time between two writes of one connection
 * @param seed seed of all random draws
 */
record MemoryPlan(
    List<CrowdShape> shapes,
    int seconds,
    int memoryMb,
    int sockets,
    int crowdSize,
    int minPauseMs,
    int maxPauseMs,
    long seed) {
  MemoryPlan {
    shapes = List.copyOf(shapes);
  }
}

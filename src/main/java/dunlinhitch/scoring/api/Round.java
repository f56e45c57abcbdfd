package dunlinhitch.scoring.api;

import java.util.List;

/**
 * The input of a scorer for one query class; there are several rounds per second.
 *
 * @param nowUs current time of a monotonic clock in microseconds
 * @param queryClass name of the query class
 * @param aimUs latency objective of the query class in microseconds
 * @param candidates all endpoints of all cells, in no particular order
 */
public record Round(long nowUs, String queryClass, long aimUs, List<Candidate> candidates) {
  /** Copies the list. */
  public Round {
    candidates = List.copyOf(candidates);
  }
}

package dunlinhitch.scoring.api;

import java.util.List;

/**
 * What a scorer is asked, some times a second, once for each class.
 *
 * @param nowUs a clock that never runs back, in µs
 * @param queryClass the class of queries that the answer is for
 * @param aimUs the time in which queries of the class are to be answered
 * @param candidates all stores that there are, of all cells, in an order that says nothing
 */
public record Round(long nowUs, String queryClass, long aimUs, List<Candidate> candidates) {
  public Round {
    candidates = List.copyOf(candidates);
  }
}

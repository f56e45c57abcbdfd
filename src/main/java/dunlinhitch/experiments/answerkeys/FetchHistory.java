package dunlinhitch.experiments.answerkeys;

import java.util.HashMap;
import java.util.Map;

/**
 * Records the last fetch of each topic and shard, and detects fetches that were unnecessary because
 * a cached answer was still valid.
 */
final class FetchHistory {
  /**
   * The time at which the leader of the last fetch was recorded, and the generation of the data of
   * the last answer.
   */
  private static final class LastFetch {
    private long leaderSinceUs = Long.MIN_VALUE / 2;
    private long generation;
  }

  private final Map<String, LastFetch> lastFetches = new HashMap<>();

  /**
   * Records that a query became the leader of a fetch.
   *
   * @return true if the fetch is unnecessary: the previous fetch is younger than the maximum age of
   *     an answer, and the data has not changed since then
   */
  boolean recordLeader(long nowUs, String identity, long generation) {
    LastFetch last = lastFetches.computeIfAbsent(identity, absent -> new LastFetch());
    boolean sameData = last.generation == generation;
    boolean withinAge = nowUs < last.leaderSinceUs + SimulatedBroker.MAX_AGE_US;
    last.leaderSinceUs = nowUs;
    return withinAge && sameData;
  }

  /** Records the generation of an answer; {@link #recordLeader} must have been called before. */
  void recordAnswer(String identity, long generation) {
    lastFetches.get(identity).generation = generation;
  }
}

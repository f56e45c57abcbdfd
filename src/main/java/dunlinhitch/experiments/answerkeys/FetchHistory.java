package dunlinhitch.experiments.answerkeys;

import java.util.HashMap;
import java.util.Map;

/** The last fetch of each topic and shard, to count those that a cached answer would have saved. */
final class FetchHistory {
  /** When the fetch got its last leader, and the generation of its answer. */
  private static final class LastFetch {
    private long leaderSinceUs = Long.MIN_VALUE / 2;
    private long generation;
  }

  private final Map<String, LastFetch> lastFetches = new HashMap<>();

  /**
   * Records a new leader.
   *
   * @return true where the previous fetch was within the age of an answer and of the same data
   */
  boolean recordLeader(long nowUs, String identity, long generation) {
    LastFetch last = lastFetches.computeIfAbsent(identity, absent -> new LastFetch());
    boolean sameData = last.generation == generation;
    boolean withinAge = nowUs < last.leaderSinceUs + SimulatedBroker.MAX_AGE_US;
    last.leaderSinceUs = nowUs;
    return withinAge && sameData;
  }

  /** Records the generation of the answer of a fetch that has had a leader. */
  void recordAnswer(String identity, long generation) {
    lastFetches.get(identity).generation = generation;
  }
}

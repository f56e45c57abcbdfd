package dunlinhitch.experiments.answerkeys;

import dunlinhitch.answerkeys.CachedAnswer;
import dunlinhitch.answerkeys.StoreAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The data of the stores, from which the expected answers are computed. */
final class ShardData {
  private static final String ANY_LANGUAGE = "any";

  /** For each shard, the time in microseconds at which each of its generations ended. */
  private final List<List<Long>> generationEnds = new ArrayList<>();

  private boolean dependsOnLanguage;

  ShardData() {
    for (int shard = 0; shard < Workload.SHARDS; shard++) {
      generationEnds.add(new ArrayList<>());
    }
  }

  /** True if the stores of the shard report the generation of their data. */
  static boolean statesGeneration(int shard) {
    return shard % 2 == 0;
  }

  int generation(int shard) {
    return generationEnds.get(shard).size() + 1;
  }

  void startGeneration(long nowUs, int shard) {
    generationEnds.get(shard).add(nowUs);
  }

  /**
   * Simulates a new release of the stores: from now on answers depend on the language, and each
   * shard has a new generation of data.
   */
  void startDependingOnLanguage(long nowUs) {
    dependsOnLanguage = true;
    generationEnds.forEach(ends -> ends.add(nowUs));
  }

  StoreAnswer answer(String store, Workload.Request request) {
    int shard = request.part().shard();
    int generation = generation(shard);
    String language = dependsOnLanguage ? request.part().variants().get("language") : ANY_LANGUAGE;
    return new StoreAnswer(
        request.topic() + "/" + language + "/" + generation,
        store,
        0,
        statesGeneration(shard) ? generation : 0,
        Set.of(),
        true,
        true);
  }

  /**
   * Returns true if the answer was computed for another topic or language than that of the request.
   */
  static boolean isWrong(CachedAnswer cached, Workload.Request request) {
    String[] components = components(cached);
    String language = request.part().variants().get("language");
    return Integer.parseInt(components[0]) != request.topic()
        || (!components[1].equals(ANY_LANGUAGE) && !components[1].equals(language));
  }

  /** Returns true if the data of the answer was replaced before {@code momentUs}. */
  boolean endedBefore(CachedAnswer cached, int shard, long momentUs) {
    int generation = Integer.parseInt(components(cached)[2]);
    List<Long> ends = generationEnds.get(shard);
    return generation <= ends.size() && ends.get(generation - 1) < momentUs;
  }

  private static String[] components(CachedAnswer cached) {
    return cached.answer().value().split("/", 0);
  }
}

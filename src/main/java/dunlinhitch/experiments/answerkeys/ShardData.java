package dunlinhitch.experiments.answerkeys;

import dunlinhitch.answerkeys.CachedAnswer;
import dunlinhitch.answerkeys.StoreAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The data of the stores, and what each answer ought to be. */
final class ShardData {
  private static final String ANY_LANGUAGE = "any";

  /** For each shard the moment in µs at which each of its generations ended. */
  private final List<List<Long>> generationEnds = new ArrayList<>();

  private boolean dependsOnLanguage;

  ShardData() {
    for (int shard = 0; shard < Workload.SHARDS; shard++) {
      generationEnds.add(new ArrayList<>());
    }
  }

  /** True where the stores of the shard state the generation of their data. */
  static boolean statesGeneration(int shard) {
    return shard % 2 == 0;
  }

  int generation(int shard) {
    return generationEnds.get(shard).size() + 1;
  }

  void startGeneration(long nowUs, int shard) {
    generationEnds.get(shard).add(nowUs);
  }

  /** A release of the stores: answers depend on the language from now on, and all data are new. */
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

  /** True where the answer is of another topic or language. */
  static boolean isWrong(CachedAnswer cached, Workload.Request request) {
    String[] components = components(cached);
    String language = request.part().variants().get("language");
    return Integer.parseInt(components[0]) != request.topic()
        || (!components[1].equals(ANY_LANGUAGE) && !components[1].equals(language));
  }

  /** True where the data of the answer ended before that moment. */
  boolean endedBefore(CachedAnswer cached, int shard, long momentUs) {
    int generation = Integer.parseInt(components(cached)[2]);
    List<Long> ends = generationEnds.get(shard);
    return generation <= ends.size() && ends.get(generation - 1) < momentUs;
  }

  private static String[] components(CachedAnswer cached) {
    return cached.answer().value().split("/", 0);
  }
}

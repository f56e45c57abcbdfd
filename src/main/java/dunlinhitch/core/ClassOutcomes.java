package dunlinhitch.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the outcomes of the requests of each class. The counts are keyed by class name, so that
 * they are kept if one reload removes a class from the settings and a later reload adds it again.
 * Owned by the reducer; not thread-safe.
 */
final class ClassOutcomes {
  private static final class Tally {
    private long served;
    private long rejected;
    private long failed;
  }

  private final Map<String, Tally> talliesByClass = new LinkedHashMap<>();

  /** Adds a class with zero counts; a class that is already present keeps its counts. */
  void addClass(String queryClass) {
    tallyOf(queryClass);
  }

  void record(String queryClass, QueryResponse response) {
    Tally tally = tallyOf(queryClass);
    if (response instanceof QueryResponse.Served) {
      tally.served++;
    } else if (response instanceof QueryResponse.Rejected) {
      tally.rejected++;
    } else {
      tally.failed++;
    }
  }

  private Tally tallyOf(String queryClass) {
    return talliesByClass.computeIfAbsent(queryClass, name -> new Tally());
  }

  /** Returns the counts, in the order in which the classes were added. */
  List<BrokerStatus.ClassCounts> list() {
    List<BrokerStatus.ClassCounts> list = new ArrayList<>();
    talliesByClass.forEach(
        (name, tally) ->
            list.add(
                new BrokerStatus.ClassCounts(name, tally.served, tally.rejected, tally.failed)));
    return list;
  }
}

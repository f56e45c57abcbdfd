package dunlinhitch.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How the requests of each class have ended, by the name of the class: it may leave the settings
 * and come back.
 */
final class ClassOutcomes {
  private static final class Tally {
    private long served;
    private long refused;
    private long failed;
  }

  private final Map<String, Tally> byClass = new LinkedHashMap<>();

  /** A class that is known from now on, with nothing ended yet. */
  void known(String queryClass) {
    byClass.computeIfAbsent(queryClass, name -> new Tally());
  }

  void ended(String queryClass, QueryResponse answer) {
    Tally tally = byClass.computeIfAbsent(queryClass, name -> new Tally());
    if (answer instanceof QueryResponse.Served) {
      tally.served++;
    } else if (answer instanceof QueryResponse.Rejected) {
      tally.refused++;
    } else {
      tally.failed++;
    }
  }

  List<BrokerStatus.OfClass> list() {
    List<BrokerStatus.OfClass> list = new ArrayList<>();
    byClass.forEach(
        (name, t) -> list.add(new BrokerStatus.OfClass(name, t.served, t.refused, t.failed)));
    return list;
  }
}

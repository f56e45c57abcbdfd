package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Collects the actions of one event in their order, and holds the counters of the module. */
final class ActionBuffer {
  private final Map<AnswerKeyCounter, Long> counters = new EnumMap<>(AnswerKeyCounter.class);
  private List<Action> actions = new ArrayList<>();

  void add(Action action) {
    actions.add(action);
  }

  void count(AnswerKeyCounter counter) {
    counters.merge(counter, 1L, Long::sum);
  }

  /** Sends the query to a store without request coalescing, and counts the reason. */
  void bypass(long query, AnswerKeyCounter reason) {
    count(reason);
    add(new Action.Bypass(query));
  }

  Map<AnswerKeyCounter, Long> counters() {
    return new EnumMap<>(counters);
  }

  /** The actions since the last call. */
  List<Action> drain() {
    List<Action> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}

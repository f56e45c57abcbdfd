package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the actions that result from one event, in order, and holds the counters of the module.
 */
final class ActionBuffer {
  private final Map<AnswerKeyCounter, Long> counters = new EnumMap<>(AnswerKeyCounter.class);
  private List<Action> actions = new ArrayList<>();

  void add(Action action) {
    actions.add(action);
  }

  void count(AnswerKeyCounter counter) {
    counters.merge(counter, 1L, Long::sum);
  }

  /** Adds a {@link Action.Bypass} for the query and increments the counter of the reason. */
  void bypass(long query, AnswerKeyCounter reason) {
    count(reason);
    add(new Action.Bypass(query));
  }

  Map<AnswerKeyCounter, Long> counters() {
    return new EnumMap<>(counters);
  }

  /** Returns and removes the actions that were added since the last call. */
  List<Action> drain() {
    List<Action> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}

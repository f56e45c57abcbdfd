package dunlinhitch.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the actions that a call of {@link WatchStateMachine} produces, and assigns request ids.
 *
 * <p>Not thread-safe; owned by the state machine.
 */
final class WatchOutput {
  private List<WatchAction> actions = new ArrayList<>();
  private long lastRequestId;

  void add(WatchAction action) {
    actions.add(action);
  }

  long nextRequestId() {
    return ++lastRequestId;
  }

  /** Returns the actions added since the last call, in order. */
  List<WatchAction> drain() {
    List<WatchAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}

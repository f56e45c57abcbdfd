package dunlinhitch.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the actions of one call of a {@link WatchStateMachine} and numbers its requests.
 *
 * <p>Not thread-safe; the state machine owns it.
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

  /** The actions since the last call, in their order. */
  List<WatchAction> drain() {
    List<WatchAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}

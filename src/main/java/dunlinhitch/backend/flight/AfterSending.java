package dunlinhitch.backend.flight;

import java.util.ArrayList;
import java.util.List;

/**
 * Tasks that wait until a call is on its way: what is to reach the store behind the call must not
 * overtake it. Where the call is never sent they never run.
 *
 * <p>Not thread-safe; used on the event loop only.
 */
final class AfterSending {
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean sent;

  /** Runs the task now if the call is on its way, else as soon as it is. */
  void run(Runnable task) {
    if (sent) {
      task.run();
    } else {
      waiting.add(task);
    }
  }

  /** The call is on its way. */
  void onSent() {
    sent = true;
    waiting.forEach(Runnable::run);
    waiting.clear();
  }
}

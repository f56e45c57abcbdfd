package dunlinhitch.backend.flight;

import java.util.ArrayList;
import java.util.List;

/**
 * Tasks deferred until a call was sent, so that messages that must reach the store after the call
 * cannot overtake it. If the call is never sent, the tasks never run.
 *
 * <p>Not thread-safe; used on the event loop only.
 */
final class AfterSending {
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean sent;

  /** Runs the task now if the call was sent, else as soon as the call is sent. */
  void run(Runnable task) {
    if (sent) {
      task.run();
    } else {
      waiting.add(task);
    }
  }

  /** Marks the call as sent and runs the deferred tasks. */
  void onSent() {
    sent = true;
    waiting.forEach(Runnable::run);
    waiting.clear();
  }
}

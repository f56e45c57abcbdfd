package dunlinhitch.concurrent;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** Reports exceptions that were caught on a thread whose own handler would only print them. */
public final class Faults {
  private Faults() {}

  /**
   * Rethrows an exception on the event loop, whose exception handler logs and counts it. Does
   * nothing if the loop has ended.
   */
  public static void report(Executor loop, Throwable fault) {
    try {
      loop.execute(
          () -> {
            throw new IllegalStateException("fault on another thread: " + fault, fault);
          });
    } catch (RejectedExecutionException e) {
      // nothing logs or counts faults any more
    }
  }
}

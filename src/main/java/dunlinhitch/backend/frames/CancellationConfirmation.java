package dunlinhitch.backend.frames;

import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;

/**
 * Makes a store confirm that it has read the cancellations of one connection. One liveness check is
 * sent after all cancellations of an iteration of the event loop, and the store confirms them by
 * its reply to the check. If liveness checks are not allowed, the connection is drained instead;
 * the store then confirms the cancellations by closing the connection.
 *
 * <p>Not thread-safe; owned by its connection and used on the event loop only.
 */
final class CancellationConfirmation {
  private final Vertx vertx;
  private final BooleanSupplier isNeeded;
  private final BooleanSupplier mayCheck;
  private final Runnable sendCheck;
  private final Runnable drain;

  /** True while a task is scheduled that requests the confirmation. */
  private boolean scheduled;

  /**
   * Creates an instance for one connection.
   *
   * @param isNeeded whether the connection is open and has cancellations without a check
   * @param mayCheck whether a liveness check may be sent to the store
   */
  CancellationConfirmation(
      Vertx vertx,
      BooleanSupplier isNeeded,
      BooleanSupplier mayCheck,
      Runnable sendCheck,
      Runnable drain) {
    this.vertx = vertx;
    this.isNeeded = isNeeded;
    this.mayCheck = mayCheck;
    this.sendCheck = sendCheck;
    this.drain = drain;
  }

  /** Requests one confirmation for all cancellations of this iteration of the event loop. */
  void request() {
    if (!scheduled) {
      scheduled = true;
      vertx.runOnContext(ignored -> confirm());
    }
  }

  private void confirm() {
    scheduled = false;
    if (!isNeeded.getAsBoolean()) {
      return;
    }
    if (mayCheck.getAsBoolean()) {
      sendCheck.run();
    } else {
      drain.run();
    }
  }
}

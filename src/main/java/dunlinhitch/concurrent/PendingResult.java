package dunlinhitch.concurrent;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The result of work on another thread, which may never arrive. It is either consumed once or
 * cancelled once, never both, however the calls of the two threads interleave: the requester
 * consumes the result or cancels the work after a timeout, and the worker learns that nobody waits.
 *
 * <p>Thread-safe and lock-free.
 */
public final class PendingResult<T> {
  private enum Stage {
    PENDING,
    COMPLETED,
    CONSUMED,
    CANCELLED
  }

  private record State<T>(Stage stage, T result) {}

  private final AtomicReference<State<T>> state =
      new AtomicReference<>(new State<>(Stage.PENDING, null));

  /** Creates a result that is pending. */
  public PendingResult() {}

  /**
   * Sets the result; called by the worker, once.
   *
   * @return false where it was cancelled or completed before
   */
  public boolean complete(T result) {
    State<T> pending = state.get();
    return pending.stage() == Stage.PENDING
        && state.compareAndSet(pending, new State<>(Stage.COMPLETED, result));
  }

  /** The result, for the one call that consumes it; empty while pending and ever after. */
  public Optional<T> poll() {
    State<T> completed = state.get();
    boolean consumed =
        completed.stage() == Stage.COMPLETED
            && state.compareAndSet(completed, new State<>(Stage.CONSUMED, null));
    return consumed ? Optional.of(completed.result()) : Optional.empty();
  }

  /**
   * Gives up on the result, whether it is there or not.
   *
   * @return false where it was consumed or cancelled before
   */
  public boolean cancel() {
    State<T> current = state.get();
    while (current.stage() == Stage.PENDING || current.stage() == Stage.COMPLETED) {
      if (state.compareAndSet(current, new State<>(Stage.CANCELLED, null))) {
        return true;
      }
      current = state.get();
    }
    return false;
  }

  /** True once it was cancelled; long-running workers poll this. */
  public boolean isCancelled() {
    return state.get().stage() == Stage.CANCELLED;
  }
}

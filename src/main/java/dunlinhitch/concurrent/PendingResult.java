package dunlinhitch.concurrent;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The result of work on another thread, which may never arrive. The requester consumes the result,
 * or cancels the work after a timeout; the worker can check for cancellation. For every
 * interleaving of the two threads, at most one call succeeds in consuming or cancelling the result.
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

  /** Creates a pending result. */
  public PendingResult() {}

  /**
   * Sets the result; called once, by the worker.
   *
   * @return false if the result was already cancelled or completed
   */
  public boolean complete(T result) {
    State<T> pending = state.get();
    return pending.stage() == Stage.PENDING
        && state.compareAndSet(pending, new State<>(Stage.COMPLETED, result));
  }

  /**
   * Consumes the result. Returns it to the first call after completion, and empty to all other
   * calls.
   */
  public Optional<T> poll() {
    State<T> completed = state.get();
    boolean consumed =
        completed.stage() == Stage.COMPLETED
            && state.compareAndSet(completed, new State<>(Stage.CONSUMED, null));
    return consumed ? Optional.of(completed.result()) : Optional.empty();
  }

  /**
   * Cancels the result, whether or not it is available.
   *
   * @return false if the result was already consumed or cancelled
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

  /** Returns true once the result is cancelled; polled by long-running workers. */
  public boolean isCancelled() {
    return state.get().stage() == Stage.CANCELLED;
  }
}

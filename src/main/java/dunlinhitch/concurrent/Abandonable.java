package dunlinhitch.concurrent;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The result of work on another thread that may never come. It is taken once or abandoned once,
 * never both, whatever crosses whatever: who asked for it takes it where it is there, or abandons
 * the work where it was too long, and then the worker is told that nobody waits.
 */
public final class Abandonable<T> {
  private enum Stage {
    OPEN,
    GIVEN,
    TAKEN,
    ABANDONED
  }

  private record Cell<T>(Stage stage, T result) {}

  private final AtomicReference<Cell<T>> cell = new AtomicReference<>(new Cell<>(Stage.OPEN, null));

  /** The worker's only word; false where nobody waits for it any more, or it was said before. */
  public boolean give(T result) {
    Cell<T> open = cell.get();
    return open.stage() == Stage.OPEN && cell.compareAndSet(open, new Cell<>(Stage.GIVEN, result));
  }

  /**
   * The result, for the one call that gets it; empty where it is not there yet, not any more, or
   * abandoned.
   */
  public Optional<T> take() {
    Cell<T> given = cell.get();
    boolean taken =
        given.stage() == Stage.GIVEN && cell.compareAndSet(given, new Cell<>(Stage.TAKEN, null));
    return taken ? Optional.of(given.result()) : Optional.empty();
  }

  /**
   * Nobody waits any more, be there a result or not; false where it was taken or abandoned before.
   */
  public boolean abandon() {
    Cell<T> before = cell.get();
    while (before.stage() == Stage.OPEN || before.stage() == Stage.GIVEN) {
      if (cell.compareAndSet(before, new Cell<>(Stage.ABANDONED, null))) {
        return true;
      }
      before = cell.get();
    }
    return false;
  }

  /** True once it was abandoned: a worker that takes long asks now and then. */
  public boolean isAbandoned() {
    return cell.get().stage() == Stage.ABANDONED;
  }
}

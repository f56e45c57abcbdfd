package dunlinhitch.concurrent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Predicate;

/**
 * Counts resources that are opened by one thread and closed by others. A closed resource stays in
 * the count until it is released, and is subtracted exactly once even if several threads call
 * {@link #count} concurrently.
 *
 * <p>Thread-safe; every call holds the object's lock briefly.
 */
public final class OpenResourceCounter<T> {
  private final Deque<T> closed = new ArrayDeque<>();
  private final Predicate<? super T> isReleased;
  private int open;

  /**
   * Creates a counter with the value 0.
   *
   * @param isReleased evaluated for closed resources; must remain true once it has returned true
   */
  public OpenResourceCounter(Predicate<? super T> isReleased) {
    this.isReleased = isReleased;
  }

  /** Counts one more resource. */
  public synchronized void opened() {
    open++;
  }

  /** Marks a resource as closed; it stays in the count until it is released. */
  public synchronized void closed(T resource) {
    subtractReleased();
    closed.add(resource);
  }

  /** Returns the number of resources that are open, or closed but not released yet. */
  public synchronized int count() {
    subtractReleased();
    return open;
  }

  private void subtractReleased() {
    for (Iterator<T> candidates = closed.iterator(); candidates.hasNext(); ) {
      if (isReleased.test(candidates.next())) {
        candidates.remove();
        open--;
      }
    }
  }
}

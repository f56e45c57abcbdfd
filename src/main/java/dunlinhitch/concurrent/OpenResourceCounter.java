package dunlinhitch.concurrent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Predicate;

/**
 * Counts resources that one thread opens and others close, where a closed one counts until it is
 * released. Each is subtracted once, however many threads count at the same time.
 *
 * <p>Thread-safe; every call takes the object's lock for a short time.
 */
public final class OpenResourceCounter<T> {
  private final Deque<T> closed = new ArrayDeque<>();
  private final Predicate<? super T> isReleased;
  private int open;

  /**
   * Creates a counter at 0.
   *
   * @param isReleased evaluated for closed resources; once true it must stay true
   */
  public OpenResourceCounter(Predicate<? super T> isReleased) {
    this.isReleased = isReleased;
  }

  /** Counts one more resource. */
  public synchronized void opened() {
    open++;
  }

  /** Marks a resource as closed; it counts until it is released. */
  public synchronized void closed(T resource) {
    closed.add(resource);
  }

  /** The number of resources that are open or closed but not released. */
  public synchronized int count() {
    for (Iterator<T> candidates = closed.iterator(); candidates.hasNext(); ) {
      if (isReleased.test(candidates.next())) {
        candidates.remove();
        open--;
      }
    }
    return open;
  }
}

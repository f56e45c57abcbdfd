package dunlinhitch.concurrent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Predicate;

/**
 * How many things are open that one thread opens and others close, where one that was closed still
 * counts until it is gone. Each leaves the count once, however many threads ask at once.
 */
public final class StillOpen<T> {
  private final Deque<T> closed = new ArrayDeque<>();
  private final Predicate<? super T> gone;
  private int open;

  /** {@code gone}: what says false may say true later, and never false again after that. */
  public StillOpen(Predicate<? super T> gone) {
    this.gone = gone;
  }

  public synchronized void opened() {
    open++;
  }

  /** It was closed and is asked from now on whether it is gone. */
  public synchronized void closed(T it) {
    closed.add(it);
  }

  public synchronized int count() {
    for (Iterator<T> all = closed.iterator(); all.hasNext(); ) {
      if (gone.test(all.next())) {
        all.remove();
        open--;
      }
    }
    return open;
  }
}

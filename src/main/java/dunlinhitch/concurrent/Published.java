package dunlinhitch.concurrent;

import java.util.concurrent.atomic.AtomicReference;

/**
 * What one thread makes and others read whole: a snapshot under a number that rises. Whoever read
 * one never reads an older one after it, on whatever thread; a snapshot that was long in the making
 * does not take the place of one that was begun later.
 */
public final class Published<T> {
  /** A snapshot and its number. */
  public record Edition<T>(long number, T value) {}

  private final AtomicReference<Edition<T>> latest;

  /** The first has number 0. */
  public Published(T first) {
    latest = new AtomicReference<>(new Edition<>(0, first));
  }

  /** The latest; a decision takes one and keeps to it from its beginning to its end. */
  public Edition<T> latest() {
    return latest.get();
  }

  /** Makes this the latest and returns its number: the next one. */
  public long publish(T value) {
    return latest.updateAndGet(before -> new Edition<>(before.number() + 1, value)).number();
  }

  /** Makes this the latest unless one of that number or a later is there; false then. */
  public boolean offer(long number, T value) {
    Edition<T> offered = new Edition<>(number, value);
    Edition<T> before = latest.get();
    while (before.number() < number) {
      if (latest.compareAndSet(before, offered)) {
        return true;
      }
      before = latest.get();
    }
    return false;
  }
}

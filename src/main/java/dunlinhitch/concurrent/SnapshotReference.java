package dunlinhitch.concurrent;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the latest immutable snapshot published for other threads, with an increasing version. Once
 * a thread has read a snapshot, no thread reads an older one, and a snapshot that took long to
 * build does not replace a newer one.
 *
 * <p>Thread-safe and lock-free.
 */
public final class SnapshotReference<T> {
  /** A snapshot and its version. */
  public record Snapshot<T>(long version, T value) {}

  private final AtomicReference<Snapshot<T>> latest;

  /** Creates a reference to the snapshot of version 0. */
  public SnapshotReference(T initial) {
    latest = new AtomicReference<>(new Snapshot<>(0, initial));
  }

  /**
   * Returns the latest snapshot. A caller must call this once per decision and use the returned
   * snapshot throughout.
   */
  public Snapshot<T> latest() {
    return latest.get();
  }

  /** Publishes a value under the next version, and returns that version. */
  public long publish(T value) {
    return latest.updateAndGet(before -> new Snapshot<>(before.version() + 1, value)).version();
  }

  /**
   * Publishes a value with the given version. Returns false, without effect, if the current version
   * is the same or newer.
   */
  public boolean publishIfNewer(long version, T value) {
    Snapshot<T> candidate = new Snapshot<>(version, value);
    Snapshot<T> current = latest.get();
    while (current.version() < version) {
      if (latest.compareAndSet(current, candidate)) {
        return true;
      }
      current = latest.get();
    }
    return false;
  }
}

package dunlinhitch.concurrent;

import java.util.function.Consumer;

/**
 * Stops a resource that is started by one thread and stopped by another, in either order. Once both
 * {@link #started} and {@link #stop} have been called, the resource is stopped, because the later
 * call always observes the earlier one. If the calls overlap, both threads may run the stop action.
 *
 * <p>Thread-safe and lock-free.
 */
public final class DeferredStop<T> {
  private final Consumer<? super T> stopAction;
  private volatile T resource;
  private volatile boolean stopped;

  /**
   * Creates an instance without a resource.
   *
   * @param stopAction stops the resource; must tolerate concurrent calls from two threads
   */
  public DeferredStop(Consumer<? super T> stopAction) {
    this.stopAction = stopAction;
  }

  /** Registers the started resource; stops it if a stop was already requested. */
  public void started(T startedResource) {
    resource = startedResource;
    if (stopped) {
      stopAction.accept(startedResource);
    }
  }

  /** Stops the resource immediately, or as soon as it is started. */
  public void stop() {
    stopped = true;
    T current = resource;
    if (current != null) {
      stopAction.accept(current);
    }
  }
}

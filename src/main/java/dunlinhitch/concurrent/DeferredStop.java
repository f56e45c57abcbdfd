package dunlinhitch.concurrent;

import java.util.function.Consumer;

/**
 * Stops a resource that one thread starts and another wants stopped, whichever comes first: the
 * later of {@link #started} and {@link #stop} sees the earlier, so the resource is stopped once
 * both were called. It may be stopped twice, from both threads.
 *
 * <p>Thread-safe and lock-free.
 */
public final class DeferredStop<T> {
  private final Consumer<? super T> stopAction;
  private volatile T resource;
  private volatile boolean stopped;

  /**
   * Creates one without a resource.
   *
   * @param stopAction must tolerate two calls from two threads
   */
  public DeferredStop(Consumer<? super T> stopAction) {
    this.stopAction = stopAction;
  }

  /** Hands over the started resource, and stops it where that was requested before. */
  public void started(T startedResource) {
    resource = startedResource;
    if (stopped) {
      stopAction.accept(startedResource);
    }
  }

  /** Stops the resource now, or as soon as it is started. */
  public void stop() {
    stopped = true;
    T current = resource;
    if (current != null) {
      stopAction.accept(current);
    }
  }
}

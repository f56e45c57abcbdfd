package dunlinhitch.concurrent;

import java.util.function.Consumer;

/**
 * Something that one thread begins and another may want stopped, before it is there or after:
 * whichever comes second sees the other, so it is stopped once both have come. It may be stopped
 * twice, from both threads.
 */
public final class Stoppable<T> {
  private final Consumer<? super T> stopping;
  private volatile T begun;
  private volatile boolean stopped;

  /** {@code stopping}: bears being called from two threads. */
  public Stoppable(Consumer<? super T> stopping) {
    this.stopping = stopping;
  }

  /** It is there now. */
  public void begun(T it) {
    begun = it;
    if (stopped) {
      stopping.accept(it);
    }
  }

  /** Stops it, now or as soon as it is there. */
  public void stop() {
    stopped = true;
    T it = begun;
    if (it != null) {
      stopping.accept(it);
    }
  }
}

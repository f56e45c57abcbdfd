package dunlinhitch.scoring.host;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

/**
 * The thread of one scorer, from loading to close. No other thread runs the scorer's code, so the
 * scorer cannot block any other thread. A thread whose call does not return is abandoned: it is
 * interrupted, and later results are dropped.
 */
final class ScorerThread {
  /** Queue entry at which the thread ends. */
  private static final ScorerCall<Void> END = new ScorerCall<>(0, null, () -> null);

  private final BlockingQueue<ScorerCall<?>> calls = new LinkedBlockingQueue<>();
  private final Thread thread;
  private volatile boolean abandoned;

  /**
   * Starts the thread.
   *
   * @param onCompletion receives each call on this thread after it has run
   */
  ScorerThread(String scorerName, Consumer<ScorerCall<?>> onCompletion) {
    thread = new Thread(null, () -> run(onCompletion), "scorer " + scorerName, 0, false);
    thread.setDaemon(true);
    thread.setContextClassLoader(ClassLoader.getPlatformClassLoader());
    thread.start();
  }

  private void run(Consumer<ScorerCall<?>> onCompletion) {
    try {
      for (ScorerCall<?> call = calls.take(); call != END && !abandoned; call = calls.take()) {
        call.run();
        if (!abandoned) {
          onCompletion.accept(call);
        }
      }
    } catch (InterruptedException e) {
      // The thread was abandoned, or the scorer's own code interrupted it. In both cases the thread
      // ends, and a pending call times out.
    }
  }

  /** Adds a call to the queue. */
  void submit(ScorerCall<?> call) {
    calls.add(call);
  }

  /** Ends the thread after the calls submitted so far. */
  void shutdown() {
    calls.add(END);
  }

  /** Ends the thread as soon as the scorer's code responds to an interrupt. */
  void abandon() {
    abandoned = true;
    thread.interrupt();
    calls.add(END);
  }

  boolean isAlive() {
    return thread.isAlive();
  }
}

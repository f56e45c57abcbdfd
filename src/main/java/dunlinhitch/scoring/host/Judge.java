package dunlinhitch.scoring.host;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

/**
 * The thread of one plug-in, from its loading to its close: nothing else of the program ever runs
 * its code, so nothing else can be held by it. One that does not return is abandoned: it is
 * interrupted, and whatever it hands back later is dropped.
 */
final class Judge {
  private static final Call<Void> END = new Call<>(0, null, () -> null);

  private final BlockingQueue<Call<?>> calls = new LinkedBlockingQueue<>();
  private final Thread thread;
  private volatile boolean abandoned;

  Judge(String name, Consumer<Call<?>> done) {
    thread = new Thread(null, () -> run(done), "scorer " + name, 0, false);
    thread.setDaemon(true);
    thread.setContextClassLoader(ClassLoader.getPlatformClassLoader());
    thread.start();
  }

  private void run(Consumer<Call<?>> done) {
    try {
      for (Call<?> call = calls.take(); call != END && !abandoned; call = calls.take()) {
        call.run();
        if (!abandoned) {
          done.accept(call);
        }
      }
    } catch (InterruptedException e) {
      // it was abandoned, or its own code interrupted it: it ends either way, and its call runs out
      // of time
    }
  }

  void ask(Call<?> call) {
    calls.add(call);
  }

  /** After what it was asked so far. */
  void end() {
    calls.add(END);
  }

  void abandon() {
    abandoned = true;
    thread.interrupt();
    calls.add(END);
  }

  boolean isAlive() {
    return thread.isAlive();
  }
}

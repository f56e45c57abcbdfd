package dunlinhitch.server;

/**
 * SIGHUP, heeded from the first moment of a process on: a JVM that does not heed it ends on it.
 * What comes while there is nothing yet that could read the configuration again is kept, and then
 * heeded once, for the file may have been replaced after the start had read it.
 */
public final class HangupSignals {
  private Runnable readAgain;
  private boolean kept;

  /** Heeds the signal from now on; false where it never will, see {@link ProcessSignals#on}. */
  public boolean heed() {
    return ProcessSignals.on("HUP", this::came);
  }

  synchronized void came() {
    if (readAgain == null) {
      kept = true;
    } else {
      readAgain.run();
    }
  }

  /** What is to be run on each from now on, and at once if one was kept. */
  public synchronized void to(Runnable task) {
    readAgain = task;
    if (kept) {
      kept = false;
      task.run();
    }
  }
}

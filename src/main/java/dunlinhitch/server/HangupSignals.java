package dunlinhitch.server;

/**
 * Handler of SIGHUP, to be installed as the first step of a process because the signal's default is
 * to end the JVM. Signals that arrive before there is a task for them are remembered and run it
 * once, because the configuration file may have been replaced after the start had read it.
 *
 * <p>Thread-safe; the task runs on the thread of the signal or of {@link #setTask}.
 */
public final class HangupSignals {
  private Runnable task;
  private boolean pending;

  /**
   * Installs the handler; returns false where it will never run, see {@link ProcessSignals#handle}.
   */
  public boolean install() {
    return ProcessSignals.handle("HUP", this::onSignal);
  }

  /** Runs the task, or remembers the signal until there is one. */
  synchronized void onSignal() {
    if (task == null) {
      pending = true;
    } else {
      task.run();
    }
  }

  /** Sets the task of each later signal and runs it at once if one has arrived before. */
  public synchronized void setTask(Runnable newTask) {
    task = newTask;
    if (pending) {
      pending = false;
      task.run();
    }
  }
}

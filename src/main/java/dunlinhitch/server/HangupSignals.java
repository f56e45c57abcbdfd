package dunlinhitch.server;

/**
 * Handler of SIGHUP. It must be installed as the first step of a process, because by default the
 * signal ends the JVM. If signals arrive before the task is set, the task runs once when it is set,
 * because the configuration file may have been replaced after the process read it at the start.
 *
 * <p>Thread-safe; the task runs on the thread of the signal or of {@link #setTask}.
 */
public final class HangupSignals {
  private Runnable task;
  private boolean pending;

  /**
   * Installs the handler; returns false if it will never run, see {@link ProcessSignals#handle}.
   */
  public boolean install() {
    return ProcessSignals.handle("HUP", this::onSignal);
  }

  /** Runs the task, or records the signal until the task is set. */
  synchronized void onSignal() {
    if (task == null) {
      pending = true;
    } else {
      task.run();
    }
  }

  /** Sets the task of each later signal, and runs it at once if a signal has already arrived. */
  public synchronized void setTask(Runnable newTask) {
    task = newTask;
    if (pending) {
      pending = false;
      task.run();
    }
  }
}

package dunlinhitch.server;

import java.lang.reflect.Proxy;

/**
 * Signals that the JDK has no public interface for; {@code sun.misc.Signal} is open to all but not
 * to be named without a warning. A JVM that does not heed SIGHUP ends on it.
 */
final class ProcessSignals {
  private ProcessSignals() {}

  /**
   * Runs the task, on a thread of the JVM's, whenever the process gets the signal of that name.
   * False where it never will: whoever started the process had it ignored (nohup does so for
   * SIGHUP), and then the JVM leaves SIGHUP, SIGINT and SIGTERM ignored whatever is asked of it.
   */
  static boolean on(String name, Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              ProcessSignals.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) ->
                  switch (method.getName()) {
                    case "handle" -> {
                      task.run();
                      yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == arguments[0];
                    default -> name;
                  });
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
      return !handler.getField("SIG_IGN").get(null).equals(before);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("no signal " + name + " on this JVM", e);
    }
  }
}

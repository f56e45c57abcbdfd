package dunlinhitch.server;

import java.lang.reflect.Proxy;

/**
 * Handlers of operating system signals. The JDK has no public interface for them; its internal
 * {@code sun.misc.Signal} is accessible, but the compiler warns about references to it, hence the
 * reflection.
 */
final class ProcessSignals {
  private ProcessSignals() {}

  /**
   * Runs the task, on a thread of the JVM, whenever the process receives the signal.
   *
   * @param name the signal without its prefix, such as {@code HUP}
   * @return false if the task will never run because the process was started with the signal
   *     ignored, as nohup does for SIGHUP: the JVM then keeps SIGHUP, SIGINT and SIGTERM ignored
   */
  static boolean handle(String name, Runnable task) {
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
      Object previousHandler =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
      return !handler.getField("SIG_IGN").get(null).equals(previousHandler);
    } catch (ReflectiveOperationException exception) {
      throw new IllegalStateException(
          "cannot install a handler for signal " + name + " on this JVM", exception);
    }
  }
}

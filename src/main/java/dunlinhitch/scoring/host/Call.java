package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;

/**
 * One thing that a plug-in's thread was asked to do, and what came of it; written there, and read
 * once it is handed back.
 */
final class Call<T> {
  /** Runs plug-in code. */
  interface Work<T> {
    T run() throws Exception;
  }

  final long untilUs;
  final Failure ifItThrows;
  private Work<T> work;
  T result;
  Failure failure;
  String why = "";
  long costUs;
  long bytes;

  Call(long untilUs, Failure ifItThrows, Work<T> work) {
    this.untilUs = untilUs;
    this.ifItThrows = ifItThrows;
    this.work = work;
  }

  /**
   * What is thrown is turned into words here: it is of the plug-in's classes, and its words may be
   * the plug-in's code too.
   */
  void run() {
    long cost = Cost.processorNs();
    long allocated = Cost.allocatedBytes();
    try {
      result = work.run();
    } catch (LoadException e) {
      failure = e.failure();
      why = e.getMessage();
    } catch (OutOfMemoryError e) {
      failure = Failure.HOLDS_MEMORY;
      why = "the heap was full while it ran";
    } catch (Throwable thrown) { // whatever it is, it ends the plug-in's call and not the thread
      failure = ifItThrows;
      why = thrown.getClass().getName() + words(thrown);
    }
    work = null;
    costUs = (Cost.processorNs() - cost) / 1_000;
    bytes = Cost.allocatedBytes() - allocated;
  }

  private static String words(Throwable thrown) {
    try {
      String message = thrown.getMessage();
      return message == null
          ? ""
          : ": "
              + message
                  .lines()
                  .findFirst()
                  .orElse("")
                  .transform(line -> line.substring(0, Math.min(200, line.length())));
    } catch (Throwable again) {
      return "";
    }
  }
}

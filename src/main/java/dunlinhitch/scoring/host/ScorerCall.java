package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;

/**
 * One call of a scorer and its result. The fields are written on the scorer's thread; the
 * supervisor thread may read them once the call was passed back.
 */
final class ScorerCall<T> {
  /** Length to which messages of a scorer's exceptions are truncated. */
  private static final int MAX_MESSAGE_LENGTH = 200;

  private static final long NANOS_PER_MICRO = 1_000;

  /** Code that runs code of a plug-in. */
  interface Task<T> {
    T run() throws Exception;
  }

  private final long deadlineUs;
  private final Failure failureOnException;
  private Task<T> task;
  private T result;
  private Failure failure;
  private String reason = "";
  private long cpuTimeUs;
  private long allocatedBytes;

  ScorerCall(long deadlineUs, Failure failureOnException, Task<T> task) {
    this.deadlineUs = deadlineUs;
    this.failureOnException = failureOnException;
    this.task = task;
  }

  /** When the supervisor gives the call up. */
  long deadlineUs() {
    return deadlineUs;
  }

  /** The result, if there was no failure. */
  T result() {
    return result;
  }

  /** The failure, or null. */
  Failure failure() {
    return failure;
  }

  /** What went wrong, for an operator. */
  String reason() {
    return reason;
  }

  /** Processor time of the call in microseconds. */
  long cpuTimeUs() {
    return cpuTimeUs;
  }

  /** Memory that the call allocated. */
  long allocatedBytes() {
    return allocatedBytes;
  }

  /**
   * Runs the task on the calling thread. An exception is converted to text here, because its class
   * and its message may be code of the plug-in.
   */
  void run() {
    long cpuNsBefore = ResourceUsage.processorNs();
    long allocatedBefore = ResourceUsage.allocatedBytes();
    try {
      result = task.run();
    } catch (LoadException e) {
      failure = e.failure();
      reason = e.getMessage();
    } catch (OutOfMemoryError e) {
      failure = Failure.HOLDS_MEMORY;
      reason = "the heap was full while it ran";
    } catch (Throwable e) { // whatever the plug-in throws, it must end the call and not the thread
      failure = failureOnException;
      reason = e.getClass().getName() + messageOf(e);
    }
    task = null;
    cpuTimeUs = (ResourceUsage.processorNs() - cpuNsBefore) / NANOS_PER_MICRO;
    allocatedBytes = ResourceUsage.allocatedBytes() - allocatedBefore;
  }

  private static String messageOf(Throwable throwable) {
    try {
      String message = throwable.getMessage();
      if (message == null) {
        return "";
      }
      String firstLine = message.lines().findFirst().orElse("");
      return ": " + firstLine.substring(0, Math.min(MAX_MESSAGE_LENGTH, firstLine.length()));
    } catch (Throwable e) { // getMessage is code of the plug-in and may throw anything itself
      return "";
    }
  }
}

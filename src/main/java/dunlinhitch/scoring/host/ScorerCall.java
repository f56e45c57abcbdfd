package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;

/**
 * One call of a scorer and its result. The fields are written on the scorer's thread; the
 * supervisor thread may read them once the completed call has been passed back to it.
 */
final class ScorerCall<T> {
  /** Length to which messages of a scorer's exceptions are truncated. */
  private static final int MAX_MESSAGE_LENGTH = 200;

  private static final long NANOS_PER_MICRO = 1_000;

  /** A task that calls code of a plug-in. */
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

  /** Returns the time at which the supervisor abandons the call. */
  long deadlineUs() {
    return deadlineUs;
  }

  /** The result; valid only if there was no failure. */
  T result() {
    return result;
  }

  /** The failure, or null. */
  Failure failure() {
    return failure;
  }

  /** The cause of the failure, for an operator. */
  String reason() {
    return reason;
  }

  /** Processor time of the call in microseconds. */
  long cpuTimeUs() {
    return cpuTimeUs;
  }

  /** Memory in bytes that the call allocated. */
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
      reason = "the heap was full during the call";
    } catch (Throwable e) { // a throwable of the plug-in ends the call but not the thread
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
    } catch (Throwable e) { // getMessage may be code of the plug-in, which can throw anything
      return "";
    }
  }
}

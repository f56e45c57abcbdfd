package dunlinhitch.scoring.api;

/**
 * A completed attempt.
 *
 * @param atUs time of completion in microseconds, on the clock of the round
 * @param tookUs latency in microseconds
 * @param foreseenUs latency in microseconds that the broker had predicted from the work queued
 *     ahead of the attempt and the attempt's own work
 */
public record Ending(Outcome outcome, long atUs, long tookUs, long foreseenUs) {
  /** Outcome of an attempt. */
  public enum Outcome {
    /** The endpoint returned a response. */
    ANSWERED,
    /** The broker gave up the attempt before any response. */
    SILENT,
    /** The connection failed, or the endpoint returned an error. */
    FAILED
  }
}

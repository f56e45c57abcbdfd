package dunlinhitch.scoring.api;

/**
 * How one attempt ended.
 *
 * @param atUs when, on the clock of the round
 * @param tookUs from its sending to its end
 * @param foreseenUs what the broker had foreseen, by the work ahead of it and its own
 */
public record Ending(Outcome outcome, long atUs, long tookUs, long foreseenUs) {
  /**
   * SILENT: given up without a word from the store; FAILED: the connection broke or the store said
   * so.
   */
  public enum Outcome {
    ANSWERED,
    SILENT,
    FAILED
  }
}

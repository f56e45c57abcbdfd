package dunlinhitch.scoring;

/**
 * Reasons for which a scorer is ejected, each with a remedy for the operator. The names of the
 * constants must not change: they are logged, counted and sent by gossip.
 */
public enum Failure {
  /** No jar in the directory provides the scorer. */
  NOT_THERE(
      "no jar in the directory provides a scorer of this name",
      "add its jar or correct the name in [scorer NAME], then send SIGHUP"),
  /** Loading or initializing the scorer failed. */
  WILL_NOT_LOAD(
      "it could not be loaded or initialized",
      "check the reason (for example a missing class or a rejected parameter), install a corrected jar and send SIGHUP"),
  /** The scorer was built for a later version of the scorer interface. */
  LATER_API(
      "it requires a later version of the scorer interface",
      "install a build for this version, or upgrade the broker"),
  /** A round ended with an exception. */
  THROWS(
      "it threw an exception",
      "report the reason to its author; the broker retries it after a backoff"),
  /** A round returned invalid judgements. */
  NONSENSE(
      "it returned invalid judgements",
      "report the reason to its author; the broker retries it after a backoff"),
  /** Several consecutive rounds exceeded the limit of processor time. */
  SLOW(
      "it exceeded the processor time limit",
      "reduce its work per round; the broker retries it after a backoff"),
  /** A call timed out. */
  NEVER_RETURNS(
      "a call did not return within its time limit",
      "its thread remains until the call returns: remove the jar, and restart the broker if too many such threads remain"),
  /** The scorer exceeded the memory limit. */
  HOLDS_MEMORY(
      "it exceeded the memory limit",
      "reduce the memory that it allocates and retains; its memory is freed when it is unloaded, and the broker retries it after a backoff");

  private final String description;
  private final String remedy;

  Failure(String description, String remedy) {
    this.description = description;
    this.remedy = remedy;
  }

  /** What happened, for an operator. */
  public String description() {
    return description;
  }

  /** What the operator can do about it. */
  public String remedy() {
    return remedy;
  }
}

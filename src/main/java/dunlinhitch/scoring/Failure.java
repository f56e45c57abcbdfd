package dunlinhitch.scoring;

/**
 * Why a scorer is ejected, each with a remedy for the operator. The names of the constants are
 * stable: they are printed, counted and sent by gossip.
 */
public enum Failure {
  /** No jar of the directory offers the scorer. */
  NOT_THERE(
      "no jar of the directory offers a scorer of this name",
      "put its jar there, or mend the name in [scorer NAME], and send SIGHUP"),
  /** Loading or initializing it failed. */
  WILL_NOT_LOAD(
      "it can not be loaded or begun",
      "look at the reason: a class that is missing, a parameter that it refuses; put the mended jar there and send SIGHUP"),
  /** It was built for a later version of the scorer interface. */
  LATER_API(
      "it asks for a later version of the interface",
      "take a build of it for this version, or a later broker"),
  /** A round ended with an exception. */
  THROWS("it threw", "give the reason to whoever wrote it; it is tried again by itself"),
  /** A round returned invalid judgements. */
  NONSENSE(
      "it returned nonsense", "give the reason to whoever wrote it; it is tried again by itself"),
  /** Several rounds in a row were beyond the processor time allowed. */
  SLOW(
      "it took more processor time than it may",
      "let it do less in a round; it is tried again by itself"),
  /** A call timed out. */
  NEVER_RETURNS(
      "it did not return in time",
      "its thread stays until it returns: restart the broker if that is too many, and take the jar out"),
  /** It allocated more memory than allowed. */
  HOLDS_MEMORY(
      "it took more memory than it may",
      "let it keep less; what it held is let go with it, and it is tried again by itself");

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

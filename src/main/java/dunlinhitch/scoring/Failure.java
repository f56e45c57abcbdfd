package dunlinhitch.scoring;

/**
 * Why a scorer is left out, each with what an operator can do. The names are stable: they stand in
 * figures and in words.
 */
public enum Failure {
  NOT_THERE(
      "no jar of the directory offers a scorer of this name",
      "put its jar there, or mend the name in [scorer NAME], and send SIGHUP"),
  WILL_NOT_LOAD(
      "it can not be loaded or begun",
      "look at the reason: a class that is missing, a parameter that it refuses; put the mended jar there and send SIGHUP"),
  LATER_API(
      "it asks for a later version of the interface",
      "take a build of it for this version, or a later broker"),
  THROWS("it threw", "give the reason to whoever wrote it; it is tried again by itself"),
  NONSENSE(
      "it returned nonsense", "give the reason to whoever wrote it; it is tried again by itself"),
  SLOW(
      "it took more processor time than it may",
      "let it do less in a round; it is tried again by itself"),
  NEVER_RETURNS(
      "it did not return in time",
      "its thread stays until it returns: restart the broker if that is too many, and take the jar out"),
  HOLDS_MEMORY(
      "it took more memory than it may",
      "let it keep less; what it held is let go with it, and it is tried again by itself");

  private final String what;
  private final String remedy;

  Failure(String what, String remedy) {
    this.what = what;
    this.remedy = remedy;
  }

  public String what() {
    return what;
  }

  public String remedy() {
    return remedy;
  }
}

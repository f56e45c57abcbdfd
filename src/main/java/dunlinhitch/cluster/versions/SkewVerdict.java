package dunlinhitch.cluster.versions;

/**
 * What is decided of a broker.
 *
 * @param broker whom it is of
 * @param kind which version it is behind with
 * @param step what follows
 * @param has the version that it acts on
 * @param newest the one that is newest, as far as is known here
 * @param behindUs how long it has been behind, from when the newer was heard of here
 */
public record SkewVerdict(
    String broker, Kind kind, Step step, String has, String newest, long behindUs) {
  /** What can be behind. A build can not: a fleet runs two of them while it is upgraded. */
  public enum Kind {
    SETTINGS,
    ROSTER
  }

  /**
   * SEEN: it is a straggler. BRING_UP: of this broker itself, ask the source again. SHUT_OUT: the
   * others count on it no more; of itself, let nothing new in. LET_IN: it has caught up after that.
   * CAUGHT_UP: it has, before.
   */
  public enum Step {
    SEEN,
    BRING_UP,
    SHUT_OUT,
    LET_IN,
    CAUGHT_UP
  }
}

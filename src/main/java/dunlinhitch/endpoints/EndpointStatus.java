package dunlinhitch.endpoints;

/** What a store is to the broker, all that is said of it weighed. */
public enum EndpointStatus {
  /** It is said to be there, but gets nothing yet: it came and went too often of late. */
  ANNOUNCED(false),
  /** It serves. */
  LIVE(true),
  /** It serves by a word that is past its time: its source is silent. */
  STALE(true),
  /** Its own word, or its source's, is that it wants nothing new. */
  DRAINING(true),
  /** What is said of it does not fit together: it gets nothing until it does. */
  DISPUTED(false),
  /**
   * As disputed or announced, but its blocks have no other store: the oldest word holds meanwhile.
   */
  STANDING_IN(true),
  /**
   * It was taken back: nothing new, at once; it is remembered for a while, for it may come back.
   */
  WITHDRAWN(false),
  /** It is not there. */
  GONE(false);

  private final boolean told;

  EndpointStatus(boolean told) {
    this.told = told;
  }

  /** True where the store's own state (ready or draining) is what the decisions are told. */
  public boolean byItsWord() {
    return told;
  }
}

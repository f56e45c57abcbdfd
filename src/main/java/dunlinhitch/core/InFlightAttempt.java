package dunlinhitch.core;

/**
 * One attempt that was sent, or is about to be sent at the end of the turn.
 *
 * @param id the number that edges know it by
 * @param part the part that it is for
 * @param key what the load balancer knows it by
 * @param endpoint where it is sent
 * @param sentUs the time of the turn that started it, in microseconds
 * @param firstPass whether it asks only for the first pass
 */
record InFlightAttempt(
    long id, InFlightPart part, Key key, TrackedEndpoint endpoint, long sentUs, boolean firstPass) {
  /**
   * The load balancer's name for an attempt.
   *
   * @param part the part's number when the attempt was started; the part may have another since
   * @param ordinal the place of the attempt among those under that number, from 0
   */
  record Key(int part, int ordinal) {
    // written out: the methods that a record generates are linked at their first use, which would
    // fall into the first query
    @Override
    public boolean equals(Object other) {
      return other instanceof Key key && part == key.part && ordinal == key.ordinal;
    }

    @Override
    public int hashCode() {
      return 31 * part + ordinal;
    }
  }
}

package dunlinhitch.core;

/**
 * An attempt that has been sent or will be sent at the end of the current turn.
 *
 * @param id the number that identifies it to edges
 * @param part the part that it executes
 * @param key the key that identifies it to the load balancer
 * @param endpoint the endpoint to which it is sent
 * @param sentUs the time of the turn that started it, in microseconds
 * @param firstPass whether it is for a first pass
 */
record InFlightAttempt(
    long id, InFlightPart part, Key key, TrackedEndpoint endpoint, long sentUs, boolean firstPass) {
  /**
   * Identifies an attempt to the load balancer.
   *
   * @param part the part's number when the attempt was started; the part may have been renumbered
   *     since then
   * @param ordinal the index of the attempt among those started under that part number, from 0
   */
  record Key(int part, int ordinal) {
    // Implemented explicitly, because the generated methods of a record are linked at their first
    // use, which would delay the first query.
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

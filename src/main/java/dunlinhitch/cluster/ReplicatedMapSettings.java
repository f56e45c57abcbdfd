package dunlinhitch.cluster;

/**
 * The age limits and bounds of a {@link ReplicatedMap}.
 *
 * @param lifeUs how long after its timestamp an entry expires, in microseconds
 * @param skewUs how far in the future a timestamp may be, in microseconds: the clock skew that is
 *     tolerated
 * @param most entries in the map at most
 * @param mostOfAuthor entries of one origin at most
 */
public record ReplicatedMapSettings(long lifeUs, long skewUs, int most, int mostOfAuthor) {
  /** Checks that entries can exist for a while. */
  public ReplicatedMapSettings {
    if (lifeUs <= 0 || skewUs < 0 || most < 1 || mostOfAuthor < 1 || mostOfAuthor > most) {
      throw new IllegalArgumentException(
          "facts live for a while and some of them are kept: "
              + lifeUs
              + ", "
              + skewUs
              + ", "
              + most
              + ", "
              + mostOfAuthor);
    }
  }
}

package dunlinhitch.cluster;

/**
 * How facts age and how many are kept: {@code lifeUs} after its moment a fact says nothing any
 * more; one from more than {@code skewUs} ahead is not believed; at most {@code most} are held,
 * {@code mostOfAuthor} of them of one author.
 */
public record ReplicatedMapSettings(long lifeUs, long skewUs, int most, int mostOfAuthor) {
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

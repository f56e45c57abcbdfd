package dunlinhitch.cluster;

/**
 * A report that one broker's pings to another went unanswered, as brokers share it: a suspicion
 * with reports of several brokers times out sooner.
 *
 * @param name the suspected member
 * @param incarnation the incarnation under which it is suspected
 * @param by the broker that suspects it
 */
public record SuspicionReport(String name, long incarnation, String by) {
  /** Bytes of the lengths of the two names. */
  private static final int FIXED_BYTES = 2;

  /** Checks that the names are not empty and the incarnation is valid. */
  public SuspicionReport {
    if (name.isEmpty() || by.isEmpty() || incarnation < 0 || incarnation > Member.MAX_INCARNATION) {
      throw new IllegalArgumentException(
          "a doubt names whom, of which incarnation, and who has it: "
              + name
              + ", "
              + incarnation
              + ", "
              + by);
    }
  }

  /** About the bytes that it takes in a message. */
  int bytes() {
    return name.length() + by.length() + FIXED_BYTES + Long.BYTES;
  }
}

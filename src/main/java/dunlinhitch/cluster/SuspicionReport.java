package dunlinhitch.cluster;

/**
 * A report, disseminated among brokers, that one broker received no ack from a member. A suspicion
 * has a shorter timeout if several brokers report it.
 *
 * @param name the suspected member
 * @param incarnation the incarnation of the suspected member
 * @param reporter the broker that suspects the member
 */
public record SuspicionReport(String name, long incarnation, String reporter) {
  /** Bytes of the lengths of the two names. */
  private static final int FIXED_BYTES = 2;

  /** Checks that the names are not empty and the incarnation is valid. */
  public SuspicionReport {
    if (name.isEmpty()
        || reporter.isEmpty()
        || incarnation < 0
        || incarnation > Member.MAX_INCARNATION) {
      throw new IllegalArgumentException(
          "a suspicion report needs a member, an incarnation from 0 to 1e15 and a reporter: got "
              + "member "
              + name
              + ", incarnation "
              + incarnation
              + ", reporter "
              + reporter);
    }
  }

  /** The approximate size of the encoded report in bytes. */
  int bytes() {
    return name.length() + reporter.length() + FIXED_BYTES + Long.BYTES;
  }
}

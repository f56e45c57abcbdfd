package dunlinhitch.cluster;

/**
 * One broker found that another does not answer, as it travels among them: who says so counts, for
 * a suspicion that several came to is believed sooner.
 *
 * @param name who does not answer
 * @param incarnation under which incarnation
 * @param by who found it
 */
public record SuspicionReport(String name, long incarnation, String by) {
  public SuspicionReport {
    if (name.isEmpty()
        || by.isEmpty()
        || incarnation < 0
        || incarnation > Member.MOST_INCARNATION) {
      throw new IllegalArgumentException(
          "a doubt names whom, of which incarnation, and who has it: "
              + name
              + ", "
              + incarnation
              + ", "
              + by);
    }
  }

  int bytes() {
    return name.length() + by.length() + 2 + Long.BYTES;
  }
}

package dunlinhitch.scoring;

/**
 * How long a scorer that failed is left out.
 *
 * @param firstUs after the first failure; twice as long after each further one
 * @param mostUs at the most
 * @param soundRounds so many sound rounds in a row take one failure back
 * @param slowInARow so many slow rounds in a row are a failure: one may be the machine's
 */
public record StandingRule(long firstUs, long mostUs, int soundRounds, int slowInARow) {
  public static final StandingRule STANDARD = new StandingRule(2_000_000, 600_000_000, 240, 3);

  public StandingRule {
    if (firstUs <= 0 || mostUs < firstUs || soundRounds < 1 || slowInARow < 1) {
      throw new IllegalArgumentException(
          "a scorer that failed waits, ever longer: "
              + firstUs
              + ", "
              + mostUs
              + ", "
              + soundRounds
              + ", "
              + slowInARow);
    }
  }
}

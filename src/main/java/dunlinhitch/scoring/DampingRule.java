package dunlinhitch.scoring;

/**
 * How factors follow what a scorer says, so that many brokers that read the same weights do not all
 * run to one store.
 *
 * @param gain share of the way that a factor's logarithm goes in a round, on the mean: each broker
 *     draws its own, by a half more or less
 * @param step the most that it goes in a round
 * @param tilt by how much a broker's own draw moves each store's, either way
 */
public record DampingRule(double gain, double step, double tilt) {
  public static final DampingRule STANDARD = new DampingRule(0.1, 0.05, 0.03);

  /** Every word is followed at once and in full: what the others are measured against. */
  public static final DampingRule NAIVE = new DampingRule(1, 100, 0);

  public DampingRule {
    if (!(gain > 0 && gain <= 1) || !(step > 0) || !(tilt >= 0 && tilt < 1)) {
      throw new IllegalArgumentException(
          "a factor goes on a part of the way: " + gain + ", " + step + ", " + tilt);
    }
  }

  /** The furthest that a factor's logarithm goes while news of it is under way. */
  public double mostWithin(long staleUs, long roundUs) {
    return step * Math.ceil((double) staleUs / roundUs);
  }
}

package dunlinhitch.scoring.api;

/**
 * What a scorer says of one candidate.
 *
 * @param factor its predicted work counts so many times; held to 1/4 to 4
 * @param weight what this broker alone has seen of the store, to be shared; held to 1/4 to 4. Do
 *     not mix in what the fleet said: it would come back to those who said it as if it were news
 * @param evidence how many endings stand behind the weight, faded with age; 0: nothing to share.
 *     Never more than there were
 */
public record Judgement(double factor, double weight, double evidence) {
  /** As if there were no scorer. */
  public static final Judgement NONE = new Judgement(1, 1, 0);

  /** A factor, and nothing to share. */
  public static Judgement of(double factor) {
    return new Judgement(factor, 1, 0);
  }
}

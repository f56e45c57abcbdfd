package dunlinhitch.twophase;

/**
 * How queries of one class go in two phases.
 *
 * @param queryClass the class's name
 * @param share of the time until the aim (the deadline, where that is nearer), the most that the
 *     first pass may take
 * @param least with fewer blocks a query goes in one phase
 * @param trial share of queries that try two phases while it does not seem to pay
 * @param audit share of the blocks that would be pruned that are asked in full all the same
 * @param margin what must be saved, as a share of the full work, for it to pay
 * @param closeUs for how long pruning is closed after it was wrong (microseconds)
 */
public record TwoPhaseSettings(
    String queryClass,
    double share,
    int least,
    double trial,
    double audit,
    double margin,
    long closeUs) {
  public TwoPhaseSettings {
    if (!(share > 0 && share < 1)
        || least < 2
        || !(trial >= 0 && trial <= 1)
        || !(audit >= 0 && audit <= 1)
        || !(margin >= 0 && margin < 1)
        || closeUs < 0) {
      throw new IllegalArgumentException("settings of phases out of range");
    }
  }

  public static TwoPhaseSettings of(String queryClass) {
    return new TwoPhaseSettings(queryClass, 0.3, 3, 0.02, 0.02, 0.05, 60_000_000);
  }
}

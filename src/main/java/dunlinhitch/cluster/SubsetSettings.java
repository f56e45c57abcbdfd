package dunlinhitch.cluster;

/**
 * How many of a cell's stores one broker keeps to, and how uneven the sum over the brokers may be.
 *
 * @param least stores of a cell at each broker at the least, where the cell has so many: one to
 *     use, the others to fail over to
 * @param spread brokers at a store at the least, on the mean: a store that only one broker knows is
 *     lost with it
 * @param slack how far the brokers at one store may lie over the mean, as a share of it
 */
public record SubsetSettings(int least, double spread, double slack) {
  /** Two stores of a cell, three brokers to two stores, a fifth over the mean. */
  public static final SubsetSettings STANDARD = new SubsetSettings(2, 1.5, 0.2);

  /**
   * Places that a cell leaves free: without any, one broker that comes or goes moves many others.
   */
  private static final int ROOM = 2;

  public SubsetSettings {
    if (least < 1 || !(spread >= 1) || !(slack >= 0) || spread > 1e6 || slack > 1e6) {
      throw new IllegalArgumentException(
          "a subset has 1 store or more, a spread from 1 on and a slack from 0 on, not "
              + least
              + ", "
              + spread
              + ", "
              + slack);
    }
  }

  /** Stores of a cell with so many that each of so many brokers keeps to. */
  public int size(int brokers, int stores) {
    return Math.min(
        stores, Math.max(least, (int) Math.ceil(spread * stores / Math.max(1, brokers) - 1e-9)));
  }

  /** Brokers that one store of such a cell bears at the most. */
  public int most(int brokers, int stores) {
    if (stores == 0) {
      return 0;
    }
    double mean = (double) brokers * size(brokers, stores) / stores;
    int most = Math.max((int) Math.ceil(mean - 1e-9), (int) Math.floor(mean * (1 + slack) + 1e-9));
    boolean tight = (long) most * stores < (long) brokers * size(brokers, stores) + ROOM;
    return Math.min(brokers, tight ? most + 1 : most);
  }
}

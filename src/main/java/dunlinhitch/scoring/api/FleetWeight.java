package dunlinhitch.scoring.api;

/**
 * The other brokers' merged weight of an endpoint and query class; this broker's own is not in it.
 *
 * @param weight from 1/4 to 4; 1 is neutral
 * @param evidence number of attempts behind it, decayed with age; 0 if there are none
 * @param authors number of brokers behind it
 */
public record FleetWeight(double weight, double evidence, int authors) {
  /** No weight of any broker. */
  public static final FleetWeight NONE = new FleetWeight(1, 0, 0);
}

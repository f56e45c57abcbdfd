package dunlinhitch.scoring.api;

/**
 * The merged weight of the other brokers for an endpoint and query class; excludes this broker's
 * own weight.
 *
 * @param weight from 1/4 to 4; 1 is neutral
 * @param evidence number of attempts that support it, decayed with age; 0 if there are none
 * @param authors number of brokers that contributed to it
 */
public record FleetWeight(double weight, double evidence, int authors) {
  /** The neutral weight, without evidence from any broker. */
  public static final FleetWeight NONE = new FleetWeight(1, 0, 0);
}

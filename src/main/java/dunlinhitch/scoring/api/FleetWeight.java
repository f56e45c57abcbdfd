package dunlinhitch.scoring.api;

/**
 * What the other brokers say of a store and class: never what this one told them.
 *
 * @param weight from 1/4 to 4; 1 says nothing
 * @param evidence how many endings of late stand behind it, faded with age; 0 says nothing
 * @param authors how many brokers
 */
public record FleetWeight(double weight, double evidence, int authors) {
  public static final FleetWeight NONE = new FleetWeight(1, 0, 0);
}

package dunlinhitch.answerkeys;

import java.util.List;

/**
 * How answers of a query class may be shared.
 *
 * @param name the name of the class
 * @param attributes the attributes by which its answers may vary
 * @param reusable its parts may run twice and carry no idempotency key
 * @param maxAgeUs the age of a reused answer at the most, counted from when its store was asked;
 *     more than a store takes to answer
 * @param ownerWaitUs how long the reply of another broker is awaited at the most
 * @param latencyObjectiveUs the latency objective of the class
 * @param location where the class is configured, for errors
 */
public record ClassCachePolicy(
    String name,
    List<String> attributes,
    boolean reusable,
    long maxAgeUs,
    long ownerWaitUs,
    long latencyObjectiveUs,
    String location) {
  /**
   * Copies the attributes.
   *
   * @throws KeysException where a duration is out of range
   */
  public ClassCachePolicy {
    attributes = List.copyOf(attributes);
    if (maxAgeUs <= 0 || ownerWaitUs < 0 || ownerWaitUs >= latencyObjectiveUs) {
      throw new KeysException(
          KeysException.Code.SETTING,
          location,
          "class "
              + name
              + " keeps answers for "
              + maxAgeUs
              + " us and waits "
              + ownerWaitUs
              + " us for another broker, of an aim of "
              + latencyObjectiveUs
              + " us",
          "give an age above 0 and a wait below the class's aim");
    }
  }
}

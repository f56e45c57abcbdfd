package dunlinhitch.answerkeys;

import java.util.List;

/**
 * The policy for sharing answers of a query class.
 *
 * @param name the name of the class
 * @param attributes the attributes by which answers of the class may vary
 * @param reusable whether answers may be reused, which requires that parts may be executed twice
 *     and carry no idempotency key
 * @param maxAgeUs the maximum age of a reused answer, counted from the request to its store; must
 *     exceed the response time of stores
 * @param ownerWaitUs the maximum time to wait for the reply of another broker
 * @param latencyObjectiveUs the latency objective of the class
 * @param location where the class is configured, for error messages
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
   * @throws KeysException if a duration is out of range
   */
  public ClassCachePolicy {
    attributes = List.copyOf(attributes);
    if (maxAgeUs <= 0 || ownerWaitUs < 0 || ownerWaitUs >= latencyObjectiveUs) {
      throw new KeysException(
          KeysException.Code.SETTING,
          location,
          "query class "
              + name
              + " has a maximum answer age of "
              + maxAgeUs
              + " us and waits up to "
              + ownerWaitUs
              + " us for another broker, with a latency objective of "
              + latencyObjectiveUs
              + " us",
          "set the age above 0, and the wait to at least 0 and below the latency objective");
    }
  }
}

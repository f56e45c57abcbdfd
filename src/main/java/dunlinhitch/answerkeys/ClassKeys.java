package dunlinhitch.answerkeys;

import java.util.List;

/**
 * What of a class matters to keys: the attributes that its answers may vary by, whether its parts
 * may run twice and carry no idempotency key ({@code reusable}), how old a reused answer may be
 * (from when its store was asked: more than a store takes), and how long another broker is waited
 * for at the most.
 */
public record ClassKeys(
    String name,
    List<String> attributes,
    boolean reusable,
    long mostAgeUs,
    long homeWaitUs,
    long aimUs,
    String place) {
  public ClassKeys {
    attributes = List.copyOf(attributes);
    if (mostAgeUs <= 0 || homeWaitUs < 0 || homeWaitUs >= aimUs) {
      throw new KeysException(
          KeysException.Code.SETTING,
          place,
          "class "
              + name
              + " keeps answers for "
              + mostAgeUs
              + " us and waits "
              + homeWaitUs
              + " us for another broker, of an aim of "
              + aimUs
              + " us",
          "give an age above 0 and a wait below the class's aim");
    }
  }
}

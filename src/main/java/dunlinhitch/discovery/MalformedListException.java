package dunlinhitch.discovery;

/**
 * What discovery sent can not be an object, or is longer than any list, so that the begin of the
 * next one can not be found either.
 */
final class MalformedListException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedListException(String message) {
    super(message);
  }
}

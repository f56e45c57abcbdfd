package dunlinhitch.discovery;

/**
 * The response of discovery contains a malformed or oversized object, so the start of the next
 * object cannot be determined.
 */
final class MalformedListException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedListException(String message) {
    super(message);
  }
}

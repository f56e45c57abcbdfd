package dunlinhitch.frontend;

/**
 * Thrown if a request is not a valid query; the message is the reason that is sent to the client.
 */
public final class MalformedQueryException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with the reason that is sent to the client. */
  public MalformedQueryException(String message) {
    super(message);
  }
}

package dunlinhitch.frontend;

/** A request that is no query: the message says why, in words for the client. */
public final class MalformedQueryException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedQueryException(String message) {
    super(message);
  }
}

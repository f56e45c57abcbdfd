package dunlinhitch.intake;

/** A request that is no query: the message says why, in words for the client. */
public final class BadQueryException extends Exception {
  private static final long serialVersionUID = 1L;

  public BadQueryException(String message) {
    super(message);
  }
}

package dunlinhitch.frontend;

/** A request that is no valid query; the message gives the client the reason. */
public final class MalformedQueryException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with the reason that the client gets. */
  public MalformedQueryException(String message) {
    super(message);
  }
}

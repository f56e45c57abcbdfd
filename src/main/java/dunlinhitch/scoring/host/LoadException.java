package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;

/** Thrown if a scorer cannot be located or loaded; the message is for an operator. */
final class LoadException extends Exception {
  private static final long serialVersionUID = 1;

  private final Failure failure;

  LoadException(Failure failure, String reason) {
    super(reason);
    this.failure = failure;
  }

  Failure failure() {
    return failure;
  }
}

package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;

/** A scorer that can not be used, and why. */
final class LoadException extends Exception {
  private static final long serialVersionUID = 1;

  private final Failure failure;

  LoadException(Failure failure, String why) {
    super(why);
    this.failure = failure;
  }

  Failure failure() {
    return failure;
  }
}

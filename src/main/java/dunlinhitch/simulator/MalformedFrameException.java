package dunlinhitch.simulator;

import java.io.IOException;

/** The input violates the simulator's protocol; reading can not be resumed after it. */
final class MalformedFrameException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}

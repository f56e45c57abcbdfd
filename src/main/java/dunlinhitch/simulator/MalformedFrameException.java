package dunlinhitch.simulator;

import java.io.IOException;

/** Thrown if the input violates the simulator's protocol; reading cannot be resumed afterwards. */
final class MalformedFrameException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}

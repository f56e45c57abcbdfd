package dunlinhitch.simulator;

import java.io.IOException;

/** The input is not what the wire page describes. */
final class FormatException extends IOException {
  private static final long serialVersionUID = 1L;

  FormatException(String message) {
    super(message);
  }
}

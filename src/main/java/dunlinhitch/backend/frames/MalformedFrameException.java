package dunlinhitch.backend.frames;

/**
 * Thrown if received bytes are not a valid frame, or are a frame that the store may not send in the
 * current state.
 */
final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}

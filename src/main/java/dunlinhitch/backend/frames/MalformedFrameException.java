package dunlinhitch.backend.frames;

/** Received bytes are no frame, or one that a store may not send now. */
final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}

package dunlinhitch.backend.frames;

/** The type byte that follows the length of each frame. */
final class FrameType {
  /** To the store: the parts of one call. */
  static final char CALL = 'm';

  /** To the store: the first-pass parts of one call. */
  static final char FIRST_PASS_CALL = 's';

  /** To the store: the result of a part is no longer needed. */
  static final char CANCEL = 'n';

  /** To the store: health check; from the store: the reply to it. */
  static final char HEALTH_CHECK = 'p';

  /** To the store: liveness check of the connection; from the store: the reply to it. */
  static final char LIVENESS_CHECK = 'o';

  /** From the store: the reply to one part. */
  static final char PART_REPLY = 'q';

  /** From the store: the reply to one first-pass part. */
  static final char FIRST_PASS_REPLY = 't';

  /** From the store: a frame was rejected. */
  static final char REJECTION = 'r';

  private FrameType() {}
}

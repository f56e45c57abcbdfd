package dunlinhitch.backend.frames;

import io.vertx.core.buffer.Buffer;

/**
 * Splits the bytes received on one connection into frames. Each connection has its own; not
 * thread-safe.
 */
final class FrameDecoder {
  /** Receives each frame as soon as it is complete. */
  interface Handler {
    /**
     * Called when the header of a frame was received. The bytes ahead of it were complete frames:
     * had the length of the last one been wrong, a header would not stand here.
     */
    default void onHeader() {}

    /** Handles one frame; throws if the frame makes the connection unusable. */
    void handle(Frame frame) throws MalformedFrameException;
  }

  /** Bytes of a frame that is not complete yet. */
  private Buffer incomplete = Buffer.buffer();

  /**
   * Adds received bytes and passes on each frame as soon as it is complete, so that frames ahead of
   * a malformed one are handled.
   */
  void read(Buffer bytes, Handler handler) throws MalformedFrameException {
    Buffer all = incomplete.length() == 0 ? bytes : incomplete.appendBuffer(bytes);
    int consumed = 0;
    while (all.length() - consumed >= Frame.LENGTH_BYTES) {
      long length = FrameHeader.readLength(all, consumed);
      if (all.length() - consumed >= FrameHeader.BYTES) {
        FrameHeader.checkType(all, consumed);
        handler.onHeader();
      }
      if (all.length() - consumed - Frame.LENGTH_BYTES < length) {
        break;
      }
      int start = consumed + Frame.LENGTH_BYTES;
      consumed = start + (int) length;
      handler.handle(new Frame((char) all.getByte(start), all.slice(start + 1, consumed)));
    }
    retainIncomplete(all, consumed);
  }

  /** Keeps the incomplete frame without copying it again for each chunk that is appended to it. */
  @SuppressWarnings("ReferenceEquality") // compares whether it is the same buffer object
  private void retainIncomplete(Buffer all, int consumed) {
    if (consumed > 0) {
      incomplete = all.getBuffer(consumed, all.length());
    } else if (all != incomplete) {
      incomplete = Buffer.buffer().appendBuffer(all);
    }
  }

  /** True if the start of a frame was received but not its end. */
  boolean hasIncompleteFrame() {
    return incomplete.length() > 0;
  }
}

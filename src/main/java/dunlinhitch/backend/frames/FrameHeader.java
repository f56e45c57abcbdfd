package dunlinhitch.backend.frames;

import io.vertx.core.buffer.Buffer;
import java.util.BitSet;

/**
 * The header of a frame: its length and its type. Text cannot be mistaken for a header, because the
 * highest byte of a length in range is zero. A frame whose length does not match its content is
 * therefore recognised by the bytes that follow it, or by a whole frame at the end of its payload.
 * Stateless.
 */
final class FrameHeader {
  /** Size of the length field and the type byte in bytes. */
  static final int BYTES = Frame.LENGTH_BYTES + 1;

  private static final int FIRST_PRINTABLE = '!';
  private static final int LAST_PRINTABLE = '~';

  private FrameHeader() {}

  /** Reads the length field at a position. */
  static long readLength(Buffer bytes, int position) throws MalformedFrameException {
    long length = bytes.getUnsignedIntLE(position);
    if (!isInRange(length)) {
      throw new MalformedFrameException(
          "frame length out of range: " + length + " bytes, expected 1 to " + Frame.MAX_BYTES);
    }
    return length;
  }

  /** Checks the type byte of the header at a position. */
  static void checkType(Buffer bytes, int position) throws MalformedFrameException {
    byte type = bytes.getByte(position + Frame.LENGTH_BYTES);
    if (!isPrintable(type)) {
      throw new MalformedFrameException("type byte of a frame is no letter: " + type);
    }
  }

  /**
   * Returns true if the payload ends with one or more whole frames. The length of its own frame was
   * then too great, and the frames behind it were read as a part of it.
   */
  static boolean endsWithFrame(Buffer payload) {
    // startsFrame.get(i): from position i on, the payload consists of whole frames
    BitSet startsFrame = null;
    for (int position = payload.length() - BYTES; position >= 0; position--) {
      if (payload.getByte(position + Frame.LENGTH_BYTES - 1) != 0) {
        continue;
      }
      long length = payload.getUnsignedIntLE(position);
      long end = position + Frame.LENGTH_BYTES + length;
      boolean endsAtFrame =
          end == payload.length()
              || (startsFrame != null && end < payload.length() && startsFrame.get((int) end));
      if (isInRange(length)
          && endsAtFrame
          && isPrintable(payload.getByte(position + Frame.LENGTH_BYTES))) {
        startsFrame = startsFrame == null ? new BitSet(payload.length()) : startsFrame;
        startsFrame.set(position);
      }
    }
    return startsFrame != null;
  }

  private static boolean isInRange(long length) {
    return length >= 1 && length <= Frame.MAX_BYTES;
  }

  private static boolean isPrintable(byte type) {
    return type >= FIRST_PRINTABLE && type <= LAST_PRINTABLE;
  }
}

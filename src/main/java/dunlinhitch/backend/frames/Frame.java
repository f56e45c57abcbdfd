package dunlinhitch.backend.frames;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * One frame of the stores' protocol: a 32-bit little-endian length, the type byte and the payload.
 * The length covers the type and the payload.
 *
 * @param type one of {@link FrameType} if the frame is valid
 * @param payload the bytes after the type
 */
record Frame(char type, Buffer payload) {
  /** Size of the length field in bytes. */
  static final int LENGTH_BYTES = 4;

  /** Maximum length of a store's frame; a frame that announces more is malformed. */
  static final int MAX_BYTES = 256 * 1024;

  /** Encodes a frame with a binary payload. */
  static Buffer encode(char type, byte[] payload) {
    return Buffer.buffer(LENGTH_BYTES + 1 + payload.length)
        .appendUnsignedIntLE(1 + payload.length)
        .appendByte((byte) type)
        .appendBytes(payload);
  }

  /** Encodes a frame with a UTF-8 payload. */
  static Buffer encode(char type, String payload) {
    return encode(type, payload.getBytes(StandardCharsets.UTF_8));
  }
}

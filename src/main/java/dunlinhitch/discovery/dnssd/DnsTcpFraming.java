package dunlinhitch.discovery.dnssd;

import io.vertx.core.buffer.Buffer;

/** Framing of DNS messages on TCP: each has a two-byte length prefix (RFC 1035 section 4.2.2). */
final class DnsTcpFraming {
  /** Bytes of the length prefix. */
  static final int PREFIX_BYTES = 2;

  /** The largest message length that the prefix can encode. */
  static final int MAX_MESSAGE_BYTES = 65_535;

  private DnsTcpFraming() {}

  /** Returns true if the buffer holds a complete message and its prefix at {@code offset}. */
  static boolean hasMessage(Buffer buffer, int offset) {
    int available = buffer.length() - offset;
    return available >= PREFIX_BYTES && available >= PREFIX_BYTES + buffer.getUnsignedShort(offset);
  }

  /** Returns the offset that follows the message whose prefix begins at {@code offset}. */
  static int endOfMessage(Buffer buffer, int offset) {
    return offset + PREFIX_BYTES + buffer.getUnsignedShort(offset);
  }

  /** Returns the message whose prefix begins at {@code offset}, without the prefix. */
  static byte[] message(Buffer buffer, int offset) {
    return buffer.getBytes(offset + PREFIX_BYTES, endOfMessage(buffer, offset));
  }

  /** Returns the message with its prefix. */
  static Buffer frame(byte[] message) {
    return Buffer.buffer().appendUnsignedShort(message.length).appendBytes(message);
  }
}

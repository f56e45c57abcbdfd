package dunlinhitch.discovery.dnssd;

import io.vertx.core.buffer.Buffer;

/** Framing of DNS messages on a stream: two bytes of length before each (RFC 1035 4.2.2). */
final class DnsTcpFraming {
  /** Bytes of the length prefix. */
  static final int PREFIX_BYTES = 2;

  /** The largest message that the prefix can announce. */
  static final int MAX_MESSAGE_BYTES = 65_535;

  private DnsTcpFraming() {}

  /** True where the buffer holds a complete message with its prefix from {@code offset} on. */
  static boolean hasMessage(Buffer buffer, int offset) {
    int available = buffer.length() - offset;
    return available >= PREFIX_BYTES && available >= PREFIX_BYTES + buffer.getUnsignedShort(offset);
  }

  /** Where the message that begins at {@code offset} with its prefix ends. */
  static int endOfMessage(Buffer buffer, int offset) {
    return offset + PREFIX_BYTES + buffer.getUnsignedShort(offset);
  }

  /** The message that begins at {@code offset} with its prefix, without the prefix. */
  static byte[] message(Buffer buffer, int offset) {
    return buffer.getBytes(offset + PREFIX_BYTES, endOfMessage(buffer, offset));
  }

  /** The message with its prefix. */
  static Buffer frame(byte[] message) {
    return Buffer.buffer().appendUnsignedShort(message.length).appendBytes(message);
  }
}

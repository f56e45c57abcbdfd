package dunlinhitch.flow.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.http.HttpServerOptions;
import java.util.List;

/**
 * Request decoder that decodes one message at a time, keeps only the header and trailer fields that
 * the broker reads, buffers its input in the heap, and protects against request smuggling. Netty
 * ignores the Content-Length of a chunked request, and treats an unknown transfer coding as no
 * coding, so the bytes after such a body may be a smuggled request (RFC 9112, 6.1 and 6.3). This
 * decoder rejects such a message as invalid and reads nothing after it. Netty itself rejects
 * repeated and malformed lengths.
 */
final class RequestDecoder extends HttpRequestDecoder {
  /**
   * Creates a decoder.
   *
   * @param keptHeaders the names of the header fields to keep
   */
  RequestDecoder(HttpServerOptions options, KeptHeaders keptHeaders) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(options.getMaxInitialLineLength())
            .setMaxHeaderSize(options.getMaxHeaderSize())
            .setMaxChunkSize(options.getMaxChunkSize())
            .setInitialBufferSize(options.getDecoderInitialBufferSize())
            .setHeadersFactory(keptHeaders)
            .setTrailersFactory(keptHeaders));
    setCumulator(RequestDecoder::append);
    setSingleDecode(true);
  }

  /** Appends received bytes to those that are not decoded yet, in a heap buffer of their size. */
  private static ByteBuf append(ByteBufAllocator allocator, ByteBuf undecoded, ByteBuf received) {
    if (!received.isReadable()) {
      received.release();
      return undecoded;
    }
    if (!undecoded.isReadable()) {
      undecoded.release();
      return received;
    }
    int length = undecoded.readableBytes() + received.readableBytes();
    ByteBuf all = Unpooled.buffer(length, length).writeBytes(undecoded).writeBytes(received);
    undecoded.release();
    received.release();
    return all;
  }

  /** Returns the number of bytes that were received and not decoded yet. */
  int bufferedBytes() {
    return actualReadableBytes();
  }

  /** Returns the size of the buffer that holds the undecoded bytes. */
  int capacity() {
    return actualReadableBytes() == 0 ? 0 : internalBuffer().capacity();
  }

  /** Netty calls this after the head is read and before the body. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunked =
        codings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
    if (!codings.isEmpty()
        && (!chunked || message.headers().contains(HttpHeaderNames.CONTENT_LENGTH))) {
      throw new IllegalArgumentException(
          "invalid body framing: expected one chunked Transfer-Encoding or one Content-Length");
    }
    return super.isContentAlwaysEmpty(message);
  }
}

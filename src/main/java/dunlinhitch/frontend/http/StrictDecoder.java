package dunlinhitch.frontend.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;

/**
 * Vert.x's request decoder with protection against request smuggling. Netty ignores the
 * Content-Length of a chunked request, and treats an unknown transfer coding as no coding, so the
 * bytes after such a body may be a smuggled request (RFC 9112, 6.1 and 6.3). This decoder rejects
 * such a message as invalid and reads nothing after it. Netty itself rejects repeated and malformed
 * lengths.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
  private static final String HANDLER_NAME = "httpDecoder";

  private StrictDecoder(HttpServerOptions options) {
    super(options);
  }

  /** Replaces the decoder of a connection that was just accepted. */
  static StrictDecoder install(HttpConnection connection, HttpServerOptions options) {
    StrictDecoder decoder = new StrictDecoder(options);
    ((HttpServerConnection) connection)
        .channelHandlerContext()
        .pipeline()
        .replace(HANDLER_NAME, HANDLER_NAME, decoder);
    return decoder;
  }

  /** True if an incomplete head is buffered. */
  boolean hasBufferedBytes() {
    return actualReadableBytes() > 0;
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

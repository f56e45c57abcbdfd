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
 * Vert.x's decoder, but for one thing: Netty's drops the length where a request also says that it
 * is chunked, takes a coding it does not know for none, and reads on. What follows such a body may
 * be a request that somebody hid there (RFC 9112, 6.1 and 6.3), so here the message is invalid, and
 * nothing after it is read. Doubled and malformed lengths are invalid to Netty as well.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
  private static final String PLACE = "httpDecoder";

  private StrictDecoder(HttpServerOptions options) {
    super(options);
  }

  /** Puts a strict decoder in the place of the one that the connection was made with. */
  static StrictDecoder install(HttpConnection connection, HttpServerOptions options) {
    StrictDecoder made = new StrictDecoder(options);
    ((HttpServerConnection) connection)
        .channelHandlerContext()
        .pipeline()
        .replace(PLACE, PLACE, made);
    return made;
  }

  /** True with a part of a head. */
  boolean holdsAny() {
    return actualReadableBytes() > 0;
  }

  /** Netty asks this once the head is read and before it looks for a body. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunked =
        codings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
    if (!codings.isEmpty()
        && (!chunked || message.headers().contains(HttpHeaderNames.CONTENT_LENGTH))) {
      throw new IllegalArgumentException("a body is chunked or states its length, once");
    }
    return super.isContentAlwaysEmpty(message);
  }
}

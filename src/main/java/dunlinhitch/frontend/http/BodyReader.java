package dunlinhitch.frontend.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.LongConsumer;

/**
 * Reads the body of one request, with or without a Content-Length, and buffers a bounded number of
 * bytes. Used on the event loop only.
 */
final class BodyReader {
  /** Matches a Content-Length of at most six digits; a longer one exceeds every bound. */
  private static final String PLAUSIBLE_LENGTH = "[0-9]{1,6}";

  /** Bytes of memory for each byte of a body, because a buffer grows in powers of two. */
  private static final int MEMORY_FACTOR = 2;

  /**
   * Receives the result of reading a body; exactly one method is called, unless the client left.
   */
  interface Handler {
    /** Handles the complete body. */
    void onBody(Buffer body);

    /** Called as soon as the body is known to exceed the bound. */
    void onTooLarge();
  }

  private final int maxBytes;
  private final LongConsumer memory;
  private final Handler handler;
  private final Buffer body = Buffer.buffer();

  /**
   * True once the body is ignored: it was too large, or the client disconnected before the body was
   * complete.
   */
  private boolean aborted;

  private BodyReader(int maxBytes, LongConsumer memory, Handler handler) {
    this.maxBytes = maxBytes;
    this.memory = memory;
    this.handler = handler;
  }

  /**
   * Starts to read the body.
   *
   * @param memory receives the number of bytes of memory that the body additionally uses
   */
  static void read(HttpServerRequest request, int maxBytes, LongConsumer memory, Handler handler) {
    String statedLength = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    if (statedLength != null
        && (!statedLength.matches(PLAUSIBLE_LENGTH) || Integer.parseInt(statedLength) > maxBytes)) {
      handler.onTooLarge();
      return;
    }
    BodyReader reader = new BodyReader(maxBytes, memory, handler);
    request.handler(reader::onChunk);
    request.exceptionHandler(error -> reader.aborted = true);
    request.endHandler(ignored -> reader.onEnd());
  }

  private void onChunk(Buffer chunk) {
    if (aborted) {
      return;
    }
    if (body.length() + chunk.length() > maxBytes) {
      aborted = true;
      handler.onTooLarge();
    } else {
      memory.accept((long) MEMORY_FACTOR * chunk.length());
      body.appendBuffer(chunk);
    }
  }

  private void onEnd() {
    if (!aborted) {
      handler.onBody(body);
    }
  }
}

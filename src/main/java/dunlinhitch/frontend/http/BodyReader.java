package dunlinhitch.frontend.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/**
 * Reads the body of one request, with or without a Content-Length, and buffers a bounded number of
 * bytes. Used on the event loop only.
 */
final class BodyReader {
  /** Matches a Content-Length of at most six digits; a longer one exceeds every bound. */
  private static final String PLAUSIBLE_LENGTH = "[0-9]{1,6}";

  private final int maxBytes;
  private final Consumer<Buffer> onBody;
  private final Runnable onTooLarge;
  private final Buffer body = Buffer.buffer();

  /**
   * True once the body is ignored: it was too large, or the client disconnected before the body was
   * complete.
   */
  private boolean aborted;

  private BodyReader(int maxBytes, Consumer<Buffer> onBody, Runnable onTooLarge) {
    this.maxBytes = maxBytes;
    this.onBody = onBody;
    this.onTooLarge = onTooLarge;
  }

  /**
   * Starts to read the body. Neither callback is called if the client disconnects before the end of
   * the body.
   *
   * @param onBody receives the complete body
   * @param onTooLarge called once, as soon as the body is known to exceed the bound
   */
  static void read(
      HttpServerRequest request, int maxBytes, Consumer<Buffer> onBody, Runnable onTooLarge) {
    String statedLength = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    if (statedLength != null
        && (!statedLength.matches(PLAUSIBLE_LENGTH) || Integer.parseInt(statedLength) > maxBytes)) {
      onTooLarge.run();
      return;
    }
    BodyReader reader = new BodyReader(maxBytes, onBody, onTooLarge);
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
      onTooLarge.run();
    } else {
      body.appendBuffer(chunk);
    }
  }

  private void onEnd() {
    if (!aborted) {
      onBody.accept(body);
    }
  }
}

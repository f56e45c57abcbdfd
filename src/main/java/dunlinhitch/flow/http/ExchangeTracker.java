package dunlinhitch.flow.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Observes requests and responses between the codec and Vert.x: whether a request is incomplete,
 * and whether it awaits its response. Used on the event loop only.
 */
final class ExchangeTracker extends ChannelDuplexHandler {
  private final Runnable onResponseEnd;
  private long messages;
  private boolean requestIncomplete;
  private boolean awaitingResponse;

  /**
   * Creates a tracker.
   *
   * @param onResponseEnd called when the last part of a response is being written
   */
  ExchangeTracker(Runnable onResponseEnd) {
    this.onResponseEnd = onResponseEnd;
  }

  /** Returns the number of messages that the decoder has delivered. */
  long messages() {
    return messages;
  }

  /** Returns true if the next request may be decoded, or the rest of the current one. */
  boolean mayDecode() {
    return requestIncomplete || !awaitingResponse;
  }

  /** Returns true if a complete request awaits its response. */
  boolean isRequestPending() {
    return awaitingResponse && !requestIncomplete;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    messages++;
    if (message instanceof HttpRequest request) {
      awaitingResponse = true;
      requestIncomplete = request.decoderResult().isSuccess();
    }
    if (message instanceof LastHttpContent) {
      requestIncomplete = false;
    }
    ctx.fireChannelRead(message);
  }

  @Override
  @SuppressWarnings("FutureReturnValueIgnored") // the promise reports the write
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    boolean informational =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    ctx.write(message, promise);
    if (message instanceof LastHttpContent && !informational) {
      awaitingResponse = false;
      onResponseEnd.run();
    }
  }
}

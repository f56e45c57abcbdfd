package dunlinhitch.flow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What the decoder keeps of a request. */
class RequestDecoderTest {
  private static final int FIELDS = 1_000;

  private final RequestDecoder decoder =
      new RequestDecoder(new HttpServerOptions(), new KeptHeaders(Set.of("X-Trace-Id")));
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    while (decoder.bufferedBytes() > 0) {
      int before = decoder.bufferedBytes();
      channel.writeInbound(Unpooled.EMPTY_BUFFER);
      if (decoder.bufferedBytes() == before) {
        return;
      }
    }
  }

  /** Guards against a body that ends with very many fields, which nobody reads. */
  @Test
  void trailersThatAreNotReadAreDropped() {
    receive("POST / HTTP/1.1\r\nX-Trace-Id: i\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    receive("a:1\r\n".repeat(FIELDS) + "\r\n");
    HttpRequest request = channel.readInbound();
    assertEquals("i", request.headers().get("x-trace-id"));
    LastHttpContent end = channel.readInbound();
    assertTrue(end.decoderResult().isSuccess());
    assertEquals(0, end.trailingHeaders().size());
  }

  /** Guards against a few undecoded bytes that keep a large buffer of the socket. */
  @Test
  void undecodedBytesAreInHeapBuffersOfTheirSize() {
    String start = "POST / HTTP/1.1\r\nX-Trace-";
    ByteBuf first = Unpooled.copiedBuffer(start, StandardCharsets.ISO_8859_1);
    channel.writeInbound(first);
    channel.writeInbound(Unpooled.copiedBuffer("Id", StandardCharsets.ISO_8859_1));
    assertEquals("X-Trace-Id".length(), decoder.bufferedBytes());
    assertTrue(decoder.capacity() <= start.length() + 2);
    assertFalse(decoder.capacity() == 0);
  }
}

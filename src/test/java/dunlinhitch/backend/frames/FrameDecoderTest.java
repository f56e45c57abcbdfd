package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.buffer.Buffer;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decoding of received bytes into frames and replies. */
class FrameDecoderTest {
  /**
   * A frame arrives byte by byte. Guards against copying all earlier bytes of the frame for each
   * byte.
   */
  @Test
  void frameInSmallPiecesIsNotCopiedForEach() throws Exception {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    Buffer bytes = FrameStore.frame('q', "q.0 good 0 -\n" + "x".repeat(1 << 16));
    FrameDecoder decoder = new FrameDecoder();
    List<Frame> read = new ArrayList<>();
    long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    for (int i = 0; i < bytes.length(); i++) {
      decoder.read(bytes.getBuffer(i, i + 1), read::add);
    }
    long spent = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
    assertEquals(1, read.size());
    assertTrue(spent < 64L << 20, "allocated bytes: " + spent);
  }

  @Test
  void decodesFramesInAnyPieces() throws Exception {
    Buffer bytes =
        FrameStore.frame('q', "q.0 later 0 -\n").appendBuffer(FrameStore.frame('p', "bad"));
    FrameDecoder decoder = new FrameDecoder();
    List<Frame> read = new ArrayList<>();
    for (int i = 0; i < bytes.length(); i++) {
      decoder.read(bytes.getBuffer(i, i + 1), read::add);
    }
    assertEquals(
        List.of(
            new Frame('q', Buffer.buffer("q.0 later 0 -\n")), new Frame('p', Buffer.buffer("bad"))),
        read);
    assertEquals(AttemptOutcome.FULL, ReplyParser.partReply(read.get(0).payload()).outcome());
    assertThrows(
        MalformedFrameException.class,
        () -> ReplyParser.partReply(Buffer.buffer("q.0 good\nvalue")));
    assertThrows(
        MalformedFrameException.class,
        () -> new FrameDecoder().read(Buffer.buffer(new byte[4]), read::add));
  }
}

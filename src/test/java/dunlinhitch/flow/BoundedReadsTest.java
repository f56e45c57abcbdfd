package dunlinhitch.flow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** The size of one read. */
class BoundedReadsTest {
  private static final int ROOM = 300;
  private static final int FEW_BYTES = 256;

  /** Guards against hundreds of connections that read on at once when memory becomes free. */
  @Test
  void aReadTakesNoMoreThanThereIsRoomFor() {
    assertTrue(capacityOfRead(ROOM) <= ROOM);
    assertTrue(capacityOfRead(0) <= FEW_BYTES);
    assertTrue(capacityOfRead(Long.MAX_VALUE) > ROOM);
  }

  @SuppressWarnings("deprecation") // the interface declares the deprecated type
  private static int capacityOfRead(long room) {
    EmbeddedChannel channel = new EmbeddedChannel();
    BoundedReads.install(channel, () -> true, () -> room);
    RecvByteBufAllocator.Handle handle =
        channel.config().<RecvByteBufAllocator>getRecvByteBufAllocator().newHandle();
    handle.reset(channel.config());
    ByteBuf buffer = handle.allocate(UnpooledByteBufAllocator.DEFAULT);
    try {
      return buffer.maxCapacity();
    } finally {
      buffer.release();
    }
  }
}

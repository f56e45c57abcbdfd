package dunlinhitch.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Bounds what is read from one connection in one iteration of the event loop. Reading goes on until
 * nothing is left, a bound is reached or the reader wants no more, so that the end of a connection
 * is detected together with the bytes before it.
 */
public final class BoundedReads implements RecvByteBufAllocator {
  /** Maximum number of bytes of one read. */
  public static final int MAX_READ_BYTES = 8 * 1024;

  /** Maximum number of reads from one connection in one iteration of the event loop. */
  public static final int MAX_READS = 4;

  private static final int MIN_READ_BYTES = 256;
  private static final int FIRST_READ_BYTES = 1024;

  private final AdaptiveRecvByteBufAllocator sizes =
      new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
  private final BooleanSupplier wantsMore;
  private final LongSupplier room;

  private BoundedReads(BooleanSupplier wantsMore, LongSupplier room) {
    this.wantsMore = wantsMore;
    this.room = room;
  }

  /** Bounds the reads of a connection. */
  public static void install(Channel channel) {
    install(channel, () -> true, () -> MAX_READ_BYTES);
  }

  /**
   * Bounds the reads of a connection.
   *
   * @param wantsMore returns whether to read on; asked after each read
   * @param room returns the number of bytes that there is memory for; asked before each read, which
   *     takes no more, but for a few bytes that show whether the connection has ended
   */
  public static void install(Channel channel, BooleanSupplier wantsMore, LongSupplier room) {
    channel.config().setRecvByteBufAllocator(new BoundedReads(wantsMore, room));
  }

  @Override
  @SuppressWarnings("deprecation") // the interface declares the deprecated type
  public Handle newHandle() {
    return new BoundedHandle(sizes.newHandle());
  }

  @SuppressWarnings("deprecation") // there is no other delegate
  private final class BoundedHandle extends DelegatingHandle {
    private int reads;

    BoundedHandle(Handle delegate) {
      super(delegate);
    }

    @Override
    public void reset(ChannelConfig config) {
      reads = 0;
      delegate().reset(config);
    }

    @Override
    public ByteBuf allocate(ByteBufAllocator allocator) {
      reads++;
      long bytes = Math.min(delegate().guess(), Math.max(MIN_READ_BYTES, room.getAsLong()));
      return allocator.ioBuffer((int) bytes, (int) bytes);
    }

    @Override
    public boolean continueReading() {
      return lastBytesRead() > 0 && reads < MAX_READS && wantsMore.getAsBoolean();
    }
  }
}

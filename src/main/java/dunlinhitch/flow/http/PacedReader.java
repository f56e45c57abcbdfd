package dunlinhitch.flow.http;

import dunlinhitch.flow.BoundedReads;
import dunlinhitch.flow.FairScheduler;
import dunlinhitch.flow.FlowControl;
import dunlinhitch.flow.MemoryBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads the requests of one connection. Received bytes are buffered up to a bound and decoded one
 * message at a time, when the {@link FairScheduler} visits the connection. A request is decoded
 * only after the response to the previous one, and only while the client reads its responses.
 *
 * <p>At the bound, reading stops until requests have been handled. While a request awaits its
 * response, reading continues in any case, because the end of the connection must be detected: what
 * exceeds the bound is then discarded, and the response closes the connection.
 *
 * <p>Used on the channel's event loop only.
 */
public final class PacedReader extends ChannelDuplexHandler implements FairScheduler.Source {
  /** Maximum number of bytes of one connection that are received and not decoded. */
  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** No request is decoded while more than this many bytes of responses are not sent. */
  public static final int MAX_UNSENT_BYTES = 32 * 1024;

  /** A connection is slow if the current request has come in more reads than this. */
  static final int PROMPT_READS = 16;

  /** Memory of a buffer beside its bytes. */
  private static final int BUFFER_OVERHEAD_BYTES = 128;

  private static final int RESUME_UNSENT_BYTES = 8 * 1024;
  private static final WriteBufferWaterMark UNSENT_BOUNDS =
      new WriteBufferWaterMark(RESUME_UNSENT_BYTES, MAX_UNSENT_BYTES);
  private static final String HANDLER_NAME = "pacedReader";
  private static final String TRACKER_NAME = "exchangeTracker";

  /** Receives the events of one connection. */
  public interface Listener {
    /** Ignores all events. */
    Listener NONE =
        new Listener() {
          @Override
          public void flooded() {
            // the response closes the connection in any case
          }

          @Override
          public void disconnectedUndecoded() {
            // nothing was lost
          }
        };

    /**
     * Called once, when the client has sent more than the bound behind a request that awaits its
     * response.
     */
    void flooded();

    /** Called when the client has disconnected and bytes before its disconnect were not decoded. */
    void disconnectedUndecoded();
  }

  private final RequestDecoder decoder;
  private final Listener listener;
  private final MemoryBudget budget;
  private final MemoryBudget.Account memory;
  private final FairScheduler.Entry entry;
  private final ExchangeTracker exchange = new ExchangeTracker(this::onResponseEnd);
  private final Deque<ByteBuf> buffered = new ArrayDeque<>();
  private final Runnable readIfRoom = this::readIfRoom;
  private ChannelHandlerContext context;
  private int bufferedBytes;

  /** Memory of the decoder's buffer, as recorded in the account. */
  private int decoderBytes;

  /** Number of reads that brought bytes of the current request. */
  private int readsOfRequest;

  private boolean bytesRead;
  private boolean established;

  /** True if the decoder needs further bytes to decode a message. */
  private boolean decoderNeedsBytes = true;

  private boolean discarding;
  private boolean closed;

  private PacedReader(RequestDecoder decoder, FlowControl flowControl, Listener listener) {
    this.decoder = decoder;
    this.listener = listener;
    budget = flowControl.memory();
    memory = budget.open();
    entry = flowControl.scheduler().register(this);
  }

  /**
   * Takes over the reading of a connection that was just accepted.
   *
   * @param keptHeaders the names of the header fields to keep
   */
  public static PacedReader install(
      HttpConnection connection,
      HttpServerOptions options,
      KeptHeaders keptHeaders,
      Listener listener) {
    ChannelPipeline pipeline =
        ((HttpServerConnection) connection).channelHandlerContext().pipeline();
    RequestDecoder decoder = new RequestDecoder(options, keptHeaders);
    String decoderName = pipeline.context(HttpRequestDecoder.class).name();
    pipeline.replace(decoderName, decoderName, decoder);
    PacedReader reader = new PacedReader(decoder, FlowControl.of(pipeline.channel()), listener);
    pipeline.addAfter(
        pipeline.context(HttpResponseEncoder.class).name(), TRACKER_NAME, reader.exchange);
    pipeline.addFirst(HANDLER_NAME, reader);
    return reader;
  }

  /** Returns true if bytes were received that are not decoded as part of a request yet. */
  public boolean hasUndecodedBytes() {
    return !buffered.isEmpty() || decoder.bufferedBytes() > 0;
  }

  /** Handles the requests that were received, without waiting for a visit of the scheduler. */
  public void handleReceived() {
    handle(FairScheduler.MESSAGES_PER_VISIT);
  }

  /** Returns the memory that the connection uses. */
  public MemoryBudget.Account memory() {
    return memory;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    BoundedReads.install(ctx.channel(), this::wantsMore, this::roomForRead);
    ctx.channel().config().setWriteBufferWaterMark(UNSENT_BOUNDS);
    read(ctx);
  }

  // ---- reading

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (!closed && !discarding && exchange.isRequestPending() && !hasRoom()) {
      discarding = true;
      releaseBuffered();
      listener.flooded();
    }
    if (closed || discarding) {
      bytes.release();
      return;
    }
    buffer(bytes);
  }

  /**
   * Keeps a copy in the heap: the socket's buffer is part of a larger one, which could not be freed
   * while a slow connection keeps a few bytes of it.
   */
  private void buffer(ByteBuf received) {
    int length = received.readableBytes();
    ByteBuf bytes = Unpooled.buffer(length, length).writeBytes(received);
    received.release();
    bytesRead = true;
    buffered.add(bytes);
    bufferedBytes += sizeOf(bytes);
    memory.use(sizeOf(bytes));
  }

  private static int sizeOf(ByteBuf bytes) {
    return bytes.capacity() + BUFFER_OVERHEAD_BYTES;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    readsOfRequest += bytesRead ? 1 : 0;
    bytesRead = false;
    if (isSlow()) {
      entry.submitSlow();
    } else {
      entry.submit();
      readIfRoom();
    }
  }

  private boolean isSlow() {
    return !closed && readsOfRequest > PROMPT_READS && !exchange.isRequestPending();
  }

  @Override
  public boolean isEstablished() {
    return established;
  }

  @Override
  public void resumeReading() {
    readIfRoom();
  }

  /** Called when Netty or Vert.x wants to read. This class alone decides when to read. */
  @Override
  public void read(ChannelHandlerContext ctx) {
    ctx.channel().config().setAutoRead(false);
    readIfRoom();
  }

  private void readIfRoom() {
    if (entry.isReadingDeferred() && !exchange.isRequestPending()) {
      return;
    }
    if (wantsMore()) {
      context.read();
    } else if (!closed && bufferedBytes < MAX_BUFFERED_BYTES) {
      budget.whenFree(readIfRoom);
    }
  }

  private boolean wantsMore() {
    return !closed && (discarding || exchange.isRequestPending() || hasRoom());
  }

  /** What is discarded is read at full speed. */
  private long roomForRead() {
    return closed || discarding ? BoundedReads.MAX_READ_BYTES : memory.room();
  }

  private boolean hasRoom() {
    return bufferedBytes < MAX_BUFFERED_BYTES && memory.room() > 0;
  }

  // ---- decoding

  @Override
  public boolean isReady() {
    return !closed
        && !discarding
        && exchange.mayDecode()
        && context.channel().isWritable()
        && (!decoderNeedsBytes || !buffered.isEmpty());
  }

  @Override
  public int handle(int maxMessages) {
    int handled = 0;
    while (handled < maxMessages && isReady()) {
      decodeOne();
      handled++;
    }
    if (handled > 0) {
      context.fireChannelReadComplete(); // Vert.x flushes the responses
      readIfRoom();
    }
    return handled;
  }

  private void decodeOne() {
    long messagesBefore = exchange.messages();
    // a decoder that has bytes left is made to continue by an empty read
    context.fireChannelRead(decoderNeedsBytes ? takeBuffered() : Unpooled.EMPTY_BUFFER);
    decoderNeedsBytes = exchange.messages() == messagesBefore || decoder.bufferedBytes() == 0;
    recordDecoderMemory(decoder.capacity());
    if (exchange.isRequestPending()) {
      readsOfRequest = 0;
    }
  }

  private void recordDecoderMemory(int bytes) {
    memory.use((long) bytes - decoderBytes);
    decoderBytes = bytes;
  }

  private ByteBuf takeBuffered() {
    ByteBuf bytes = buffered.poll();
    bufferedBytes -= sizeOf(bytes);
    memory.free(sizeOf(bytes));
    return bytes;
  }

  private void onResponseEnd() {
    established = true;
    readsOfRequest = 0;
    entry.submit();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    entry.submit();
    ctx.fireChannelWritabilityChanged();
  }

  // ---- end of the connection

  @Override
  @SuppressWarnings("FutureReturnValueIgnored") // the promise reports the close
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    release();
    ctx.close(promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    onDisconnect();
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable error) {
    if (error instanceof IOException) { // the client has reset the connection
      onDisconnect();
    }
    ctx.fireExceptionCaught(error);
  }

  private void onDisconnect() {
    if (!closed && !buffered.isEmpty() && !exchange.isRequestPending()) {
      listener.disconnectedUndecoded();
    }
    release();
  }

  private void release() {
    closed = true;
    entry.release();
    releaseBuffered();
    budget.cancel(readIfRoom);
    memory.close();
  }

  private void releaseBuffered() {
    while (!buffered.isEmpty()) {
      takeBuffered().release();
    }
  }
}

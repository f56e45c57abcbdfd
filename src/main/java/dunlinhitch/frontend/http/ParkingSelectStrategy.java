package dunlinhitch.frontend.http;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * How an event loop waits when its next timer is less than half a millisecond away. Netty rounds
 * that wait to zero and polls the selector in a busy loop until the timer is due, which costs
 * processor time that a broker on part of a core needs. Here the thread parks for a short pause
 * instead. Incoming I/O waits for at most that pause, as the selector does not wake a parked
 * thread.
 *
 * <p>Each event loop has its own; used on its thread only.
 */
final class ParkingSelectStrategy implements SelectStrategy {
  /**
   * The pause; also, a round of the loop that took less did not wait. Five pauses fill the longest
   * time for which Netty would poll.
   */
  private static final long PAUSE_NS = 100_000;

  /** A round that did I/O can be as quick as one that polled: only a second one is a sign. */
  private static final int MIN_QUICK_ROUNDS = 2;

  private final LongSupplier nanoClock;
  private final LongConsumer park;
  private long roundStartNs;
  private int quickRounds;

  /**
   * Creates a strategy for one event loop.
   *
   * @param nanoClock nanoseconds
   * @param park parks the calling thread for so many nanoseconds
   */
  ParkingSelectStrategy(LongSupplier nanoClock, LongConsumer park) {
    this.nanoClock = nanoClock;
    this.park = park;
    roundStartNs = nanoClock.getAsLong() - PAUSE_NS;
  }

  @Override
  public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
    long nowNs = nanoClock.getAsLong();
    quickRounds = hasTasks || nowNs - roundStartNs >= PAUSE_NS ? 0 : quickRounds + 1;
    roundStartNs = nowNs;
    if (hasTasks) {
      return selectNow.get();
    }
    if (quickRounds >= MIN_QUICK_ROUNDS) {
      int ready = selectNow.get();
      if (ready > 0) {
        quickRounds = 0;
        return ready;
      }
      park.accept(PAUSE_NS);
      roundStartNs = nanoClock.getAsLong();
    }
    return SELECT;
  }
}

package dunlinhitch.frontend.http;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Select strategy that parks an event loop whose next timer is less than half a millisecond away.
 * Netty rounds that wait to zero and polls the selector in a busy loop until the timer is due,
 * which costs processor time that a broker with a fraction of a core needs. This strategy parks the
 * thread for a short pause instead. Incoming I/O is delayed by at most that pause, because the
 * selector does not wake a parked thread.
 *
 * <p>Each event loop has its own instance, which is used on its thread only.
 */
final class ParkingSelectStrategy implements SelectStrategy {
  /**
   * Duration of a pause, in nanoseconds. A round of the loop is short if it takes less time than a
   * pause; the loop is then assumed not to have waited. Netty would poll for at most five pauses.
   */
  private static final long PAUSE_NS = 100_000;

  /**
   * The loop parks once it has had this many consecutive short rounds. One short round does not
   * show that the loop polls, because a round that did I/O can be as short.
   */
  private static final int MIN_QUICK_ROUNDS = 2;

  private final LongSupplier nanoClock;
  private final LongConsumer park;
  private long roundStartNs;
  private int quickRounds;

  /**
   * Creates a strategy for one event loop.
   *
   * @param nanoClock nanoseconds
   * @param park parks the calling thread for the given number of nanoseconds
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

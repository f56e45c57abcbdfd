package dunlinhitch.frontend.http;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * How a loop waits when its next timer is less than half a millisecond away. Netty rounds that wait
 * to none and asks the selector over and over, without a pause, until the timer is due: processor
 * time that a broker on part of a core needs, and the more the longer one asking takes. Here the
 * thread parks for a moment in place of that. What comes from outside meanwhile waits no longer
 * than the pause, for a parked thread is not woken by its selector.
 */
final class ParkingSelectStrategy implements SelectStrategy {
  /**
   * A round that took less waited for nothing. Five pauses fill the longest time that Netty would
   * go round in.
   */
  private static final long PAUSE_NS = 100_000;

  /**
   * A round of the loop that only read or wrote is as quick: the next one shows whether it goes
   * round.
   */
  private static final int QUICK_ROUNDS = 2;

  private final LongSupplier nanos;
  private final LongConsumer park;
  private long beganNs;
  private int quick;

  /** {@code nanos}: the clock; {@code park}: lets the thread rest for so many of them. */
  ParkingSelectStrategy(LongSupplier nanos, LongConsumer park) {
    this.nanos = nanos;
    this.park = park;
    beganNs = nanos.getAsLong() - PAUSE_NS;
  }

  @Override
  public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
    long now = nanos.getAsLong();
    quick = hasTasks || now - beganNs >= PAUSE_NS ? 0 : quick + 1;
    beganNs = now;
    if (hasTasks) {
      return selectNow.get();
    }
    if (quick >= QUICK_ROUNDS) {
      int ready = selectNow.get();
      if (ready > 0) {
        quick = 0;
        return ready;
      }
      park.accept(PAUSE_NS);
      beganNs = nanos.getAsLong();
    }
    return SELECT;
  }
}

package dunlinhitch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Jitter and growth of the exponential backoff. */
class BackoffTest {
  private static final Backoff.Bounds BOUNDS = new Backoff.Bounds(100_000, 1_000_000);

  /** Jitter gives brokers that lose discovery at the same time different reconnect delays. */
  @Test
  void brokersDoNotReconnectAtTheSameTime() {
    long different =
        LongStream.range(0, 14)
            .map(seed -> new Backoff(seed).nextDelayUs(BOUNDS) / 1_000)
            .distinct()
            .count();
    assertTrue(different >= 10, "distinct delays in ms: " + different);
  }

  @Test
  void delaysGrowToTheirBoundAndRestartAfterAReset() {
    Backoff backoff = new Backoff(3);
    long last = 0;
    for (int i = 0; i < 20; i++) {
      last = backoff.nextDelayUs(BOUNDS);
      assertTrue(last >= 50_000 && last <= 1_000_000, "delay out of bounds: " + last);
    }
    assertTrue(last >= 500_000, "delay after 20 failures: " + last);
    backoff.reset();
    long first = backoff.nextDelayUs(BOUNDS);
    assertEquals(true, first >= 50_000 && first <= 100_000, "first delay after a reset: " + first);
  }
}

package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The delay before the liveness of a silent connection is checked. */
class LivenessCheckDelayTest {
  private static final long CONNECT_US = 250_000;
  private final LivenessCheckDelay delay = new LivenessCheckDelay();

  private void replies(int count, long fromUs, long toUs) {
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < count; i++) {
      delay.onReply(random.nextLong(fromUs, toUs));
    }
  }

  /**
   * Guards against a fixed delay. With a fixed delay of 83 ms, fourteen brokers together sent one
   * liveness check for every three parts.
   */
  @Test
  void storeAsSlowAsAllOthersIsNotChecked() {
    replies(400, 60_000, 140_000);
    long delayUs = delay.delayUs(CONNECT_US);
    assertTrue(delayUs > 140_000 && delayUs < CONNECT_US, "delay in us: " + delayUs);
  }

  @Test
  void delayIsShortWithoutRepliesOrAfterFastOnes() {
    assertEquals(CONNECT_US / 3, delay.delayUs(CONNECT_US));
    replies(400, 2_000, 9_000);
    assertEquals(CONNECT_US / 3, delay.delayUs(CONNECT_US));
  }

  @Test
  void delayIsAtMostTheConnectTimeout() {
    replies(400, 2_000_000, 3_000_000);
    assertEquals(CONNECT_US, delay.delayUs(CONNECT_US));
    replies(4000, 20_000, 40_000);
    assertEquals(CONNECT_US / 3, delay.delayUs(CONNECT_US));
  }
}

package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When a quiet connection is asked. */
class QuietTest {
  private static final long CONNECT_US = 250_000;
  private final Quiet quiet = new Quiet();

  private void replies(int count, long fromUs, long toUs) {
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < count; i++) {
      quiet.replied(random.nextLong(fromUs, toUs));
    }
  }

  /**
   * Fourteen brokers that asked every store not heard for 83 ms sent one check for each three
   * parts.
   */
  @Test
  void aStoreThatTakesNoLongerThanAllIsNotAsked() {
    replies(400, 60_000, 140_000);
    long us = quiet.longestUs(CONNECT_US);
    assertTrue(us > 140_000 && us < CONNECT_US, "us " + us);
  }

  @Test
  void whereNothingOrOnlyQuickRepliesWereSeenItIsAskedSoon() {
    assertEquals(CONNECT_US / 3, quiet.longestUs(CONNECT_US));
    replies(400, 2_000, 9_000);
    assertEquals(CONNECT_US / 3, quiet.longestUs(CONNECT_US));
  }

  @Test
  void howeverSlowAllAreASilentOneIsAskedByTheTimeThatAConnectionTakes() {
    replies(400, 2_000_000, 3_000_000);
    assertEquals(CONNECT_US, quiet.longestUs(CONNECT_US));
    replies(4000, 20_000, 40_000);
    assertEquals(CONNECT_US / 3, quiet.longestUs(CONNECT_US));
  }
}

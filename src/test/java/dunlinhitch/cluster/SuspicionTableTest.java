package dunlinhitch.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests of {@link SuspicionTable}. */
class SuspicionTableTest {
  private static final long SECOND_US = 1_000_000;

  /** Confirmations shorten the timeout of a suspicion, and a larger cluster lengthens it. */
  @Test
  void timeoutShrinksWithConfirmationsAndGrowsWithTheCluster() {
    SuspicionTable suspicions = new SuspicionTable(MembershipProtocolSettings.STANDARD);
    assertEquals(4 * SECOND_US, suspicions.timeoutUs(1, 8));
    assertTrue(
        suspicions.timeoutUs(2, 8) < 4 * SECOND_US
            && suspicions.timeoutUs(2, 8) > suspicions.timeoutUs(3, 8));
    assertEquals((double) SECOND_US, (double) suspicions.timeoutUs(4, 8), 1);
    assertEquals(SECOND_US, suspicions.timeoutUs(1, 2));
    assertEquals(8 * SECOND_US, suspicions.timeoutUs(1, 100));
  }
}

package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which replies prove that a store no longer has an attempt. */
class UnconfirmedAttemptsTest {
  private final List<Long> released = new ArrayList<>();
  private final UnconfirmedAttempts unconfirmed = new UnconfirmedAttempts(released::add);

  /**
   * The first check is sent before the cancellation and the second one after it. Only the second
   * reply proves that the store has read the cancellation.
   */
  @Test
  void replyToCheckSentBeforeCancellationReleasesNothing() {
    unconfirmed.onCheckSent();
    unconfirmed.add("q.0", 1);
    assertTrue(unconfirmed.needsCheck());
    unconfirmed.onCheckSent();
    assertFalse(unconfirmed.needsCheck());
    unconfirmed.onCheckReply();
    assertEquals(List.of(), released);
    unconfirmed.onCheckReply();
    assertEquals(List.of(1L), released);
  }

  @Test
  void oneCheckConfirmsAllEarlierCancellations() {
    unconfirmed.add("q.0", 1);
    unconfirmed.add("q.1", 2);
    unconfirmed.onCheckSent();
    unconfirmed.add("q.2", 3);
    unconfirmed.onCheckReply();
    assertEquals(List.of(1L, 2L), released);
    unconfirmed.onConnectionEndedByStore();
    assertEquals(List.of(1L, 2L, 3L), released);
    assertTrue(unconfirmed.isEmpty());
  }

  /** Surplus replies must not count as replies to later checks. */
  @Test
  void surplusRepliesAreIgnored() {
    unconfirmed.onCheckReply();
    unconfirmed.add("q.0", 1);
    unconfirmed.onReply("q.1");
    unconfirmed.onCheckReply();
    assertEquals(List.of(), released);
    unconfirmed.onReply("q.0");
    unconfirmed.onReply("q.0");
    assertEquals(List.of(1L), released);
  }
}

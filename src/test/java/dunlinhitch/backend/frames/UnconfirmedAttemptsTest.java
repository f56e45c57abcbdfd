package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What proves that a store does not have an attempt any more. */
class UnconfirmedAttemptsTest {
  private final List<Long> released = new ArrayList<>();
  private final UnconfirmedAttempts unconfirmed = new UnconfirmedAttempts(released::add);

  /** The second reply proves that two checks were read: only the second is behind the attempt. */
  @Test
  void theReplyToACheckAheadOfTheCancellationProvesNothing() {
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
  void oneCheckConfirmsAllCancellationsAheadOfIt() {
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

  /** A store that replies more often than it was asked proves nothing ahead of time. */
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

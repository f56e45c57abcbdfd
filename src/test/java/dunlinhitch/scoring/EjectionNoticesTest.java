package dunlinhitch.scoring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.ReplicatedEntry;
import org.junit.jupiter.api.Test;

class EjectionNoticesTest {
  private static final ScorerIdentity SCORER = new ScorerIdentity("pace", "1", "{}");

  @Test
  void noticesOfOthersAreCountedOnceAndOwnOnesAreNotNew() {
    EjectionNotices notices = new EjectionNotices("me");
    assertTrue(notices.merge(10, new ReplicatedEntry<>(SCORER, "n1", 5, Failure.THROWS)));
    assertFalse(notices.merge(10, new ReplicatedEntry<>(SCORER, "n1", 5, Failure.THROWS)));
    assertFalse(notices.merge(10, new ReplicatedEntry<>(SCORER, "me", 5, Failure.THROWS)));
    notices.recordOwn(10, SCORER, Failure.SLOW);
    assertEquals(1, notices.otherEjections(10, SCORER));
    assertEquals(2, notices.since(0, 9).size());
  }
}

package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The wall clock from which this process took its base was stepped by an hour: the clocks of
 * discovery and of this broker differ by that, and what has just started must not look warm, nor
 * stay cold for an hour.
 */
class StartTimesTest extends ReducerTestSupport {
  private static final long HOUR = 3_600 * SECOND;
  private static final int PARTS = 8;

  @ParameterizedTest
  @ValueSource(longs = {HOUR, 5 * SECOND, 0, -5 * SECOND, -HOUR})
  void aNewStartLiesBeforeTheMomentAtWhichItWasSeen(long aheadUs) {
    StartTimes times = new StartTimes();
    times.onListReceived();
    long reportedUs = now - aheadUs;
    assertEquals(now, times.localStartUs(reportedUs, now), "nothing else is known");
    assertEquals(
        now + 8 * SECOND,
        times.localStartUs(reportedUs + 8 * SECOND, now + 10 * SECOND),
        "seen 2 s later than the first, so it started 2 s before at the least");
    assertEquals(0, times.localStartUs(0, now));
  }

  /** A reported start may not lie ahead: its endpoint would stay cold until then. */
  @Test
  void theFirstListHasNoStartsInTheFuture() {
    StartTimes times = new StartTimes();
    assertEquals(now, times.localStartUs(now + HOUR, now));
    assertEquals(now - HOUR, times.localStartUs(now - HOUR, now));
  }

  /** What the first list holds bounds the difference as well: its starts lie before its receipt. */
  @ParameterizedTest
  @ValueSource(longs = {HOUR, 0, -HOUR})
  void theFirstListBoundsLaterStarts(long aheadUs) {
    StartTimes times = new StartTimes();
    times.localStartUs(now - aheadUs - SECOND, now);
    times.onListReceived();
    assertEquals(
        now + 8 * SECOND, times.localStartUs(now - aheadUs + 7 * SECOND, now + 10 * SECOND));
  }

  private void restartBoth(long startedUs) {
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.DELTA,
            List.of(
                endpoint("a", 0, ServerState.READY).withStart(startedUs),
                endpoint("b", 1, ServerState.READY).withStart(startedUs))));
  }

  private int partsSent() {
    effects.clear();
    turn(queryReceived(1, 0, PARTS));
    runFor(100_000); // health checks go ahead
    return attemptsIn(effects).size();
  }

  @ParameterizedTest
  @ValueSource(longs = {HOUR, -HOUR})
  void whatHasJustStartedIsWarmingUpWhateverTheWallClockSays(long aheadUs) {
    listBothEndpoints();
    restartBoth(now - aheadUs);
    assertTrue(partsSent() < PARTS, "they were sent what only a warm one may be");
  }

  @ParameterizedTest
  @ValueSource(longs = {HOUR, -HOUR})
  void itIsWarmAfterItsTimeWhateverTheWallClockSays(long aheadUs) {
    listBothEndpoints();
    restartBoth(now - aheadUs);
    runFor(18 * SECOND);
    assertEquals(PARTS, partsSent());
  }

  /** The same start in a later list is no start. */
  @Test
  void aStartThatIsReportedAgainKeepsItsTime() {
    listBothEndpoints();
    restartBoth(now - HOUR);
    runFor(18 * SECOND);
    restartBoth(now - HOUR - 18 * SECOND);
    assertEquals(PARTS, partsSent());
  }
}

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
 * The wall clocks of discovery and of this broker differ by up to an hour, for example because this
 * machine's clock was stepped before the process started. An endpoint that has just started must
 * neither count as warm nor stay cold for an hour.
 */
class StartTimesTest extends ReducerTestSupport {
  private static final long HOUR = 3_600 * SECOND;
  private static final int PARTS = 8;

  @ParameterizedTest
  @ValueSource(longs = {HOUR, 5 * SECOND, 0, -5 * SECOND, -HOUR})
  void aStartPrecedesTheTimeAtWhichItIsFirstSeen(long aheadUs) {
    StartTimes times = new StartTimes();
    times.onListReceived();
    long reportedUs = now - aheadUs;
    assertEquals(
        now, times.localStartUs(reportedUs, now), "the first start is taken as the current time");
    assertEquals(
        now + 8 * SECOND,
        times.localStartUs(reportedUs + 8 * SECOND, now + 10 * SECOND),
        "seen with 2 s more delay than the first, so it started at least 2 s ago");
    assertEquals(0, times.localStartUs(0, now));
  }

  /**
   * A reported start in the future is limited to the current time; otherwise the endpoint would
   * stay cold until then.
   */
  @Test
  void startsInTheFirstListAreLimitedToTheCurrentTime() {
    StartTimes times = new StartTimes();
    assertEquals(now, times.localStartUs(now + HOUR, now));
    assertEquals(now - HOUR, times.localStartUs(now - HOUR, now));
  }

  /**
   * The starts in the first list also bound the clock difference, because each start precedes the
   * receipt of the list.
   */
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
    // Allows time for the health checks that precede the parts.
    runFor(100_000);
    return attemptsIn(effects).size();
  }

  @ParameterizedTest
  @ValueSource(longs = {HOUR, -HOUR})
  void aRestartedEndpointIsInWarmUpDespiteClockDifferences(long aheadUs) {
    listBothEndpoints();
    restartBoth(now - aheadUs);
    assertTrue(partsSent() < PARTS, "endpoints in warm-up were sent the load of warm ones");
  }

  @ParameterizedTest
  @ValueSource(longs = {HOUR, -HOUR})
  void aRestartedEndpointIsWarmAfterItsWarmUpDespiteClockDifferences(long aheadUs) {
    listBothEndpoints();
    restartBoth(now - aheadUs);
    runFor(18 * SECOND);
    assertEquals(PARTS, partsSent());
  }

  /** A later list reports the same start again. */
  @Test
  void aStartThatIsReportedAgainIsNotANewStart() {
    listBothEndpoints();
    restartBoth(now - HOUR);
    runFor(18 * SECOND);
    restartBoth(now - HOUR - 18 * SECOND);
    assertEquals(PARTS, partsSent());
  }
}

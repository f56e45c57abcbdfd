package dunlinhitch.experiments.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.experiments.soak.Observation.AttemptOver;
import dunlinhitch.experiments.soak.Observation.AttemptRead;
import dunlinhitch.experiments.soak.Observation.AttemptSent;
import dunlinhitch.experiments.soak.Observation.BrokerStopped;
import dunlinhitch.experiments.soak.Observation.EndpointTold;
import dunlinhitch.experiments.soak.Observation.RequestEnd;
import dunlinhitch.experiments.soak.Observation.RequestEnded;
import dunlinhitch.experiments.soak.Observation.RequestSent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Verifies that each rule detects its violation and that no other rule reports a violation of the
 * same run.
 */
class SoakCheckerTest {
  private static final long MS = 1_000;
  private static final SoakChecker.Limits LIMITS =
      new SoakChecker.Limits(false, 2, 250 * MS, SoakPlan.BOOKING, 400 * MS);

  private final List<Observation> seen = new ArrayList<>();

  private void request(long atMs, RequestEnd end, long endMs) {
    seen.add(new RequestSent(atMs * MS, "q", "n0", SoakPlan.BOOKING, 1_000 * MS));
    if (end != null) {
      seen.add(new RequestEnded(endMs * MS, "q", end));
    }
  }

  private void attempt(String store, long sentMs, long timeoutMs, long overMs) {
    seen.add(new AttemptSent(sentMs * MS, "q.0", "n0", store, timeoutMs * MS));
    seen.add(new AttemptRead(sentMs * MS + 1, "q.0", store, 0));
    seen.add(new AttemptOver(overMs * MS, "q.0", store, 0));
  }

  private List<SoakRule> violations(SoakChecker.Limits limits) {
    return SoakChecker.check(limits, seen).stream().map(SoakChecker.Breach::rule).toList();
  }

  private void assertViolations(SoakRule... rules) {
    assertEquals(List.of(rules), violations(LIMITS));
  }

  @Test
  void servedRequestViolatesNoRule() {
    request(0, RequestEnd.SERVED, 300);
    attempt("a", 1, 999, 100);
    attempt("b", 101, 899, 200);
    assertViolations();
  }

  @Test
  void missingAnswerIsDetected() {
    request(0, null, 0);
    assertViolations(SoakRule.ONE_ANSWER);
  }

  @Test
  void lateBrokenAndDuplicateAnswersAreDetected() {
    request(0, RequestEnd.SERVED, 1_501);
    assertViolations(SoakRule.ONE_ANSWER);
    seen.clear();
    request(0, RequestEnd.BROKEN, 10);
    assertViolations(SoakRule.ONE_ANSWER);
    seen.clear();
    request(0, RequestEnd.SERVED, 10);
    seen.add(new RequestEnded(20 * MS, "q", RequestEnd.SERVED));
    assertViolations(SoakRule.ONE_ANSWER);
  }

  /** A request needs no answer if the answer is due after the broker was asked to terminate. */
  @Test
  void stoppedBrokerNeedNotAnswer() {
    request(0, null, 0);
    seen.add(new BrokerStopped(700 * MS, "n0"));
    assertViolations();
  }

  @Test
  void parallelAttemptIsDetected() {
    request(0, RequestEnd.SERVED, 300);
    attempt("a", 1, 999, 150);
    attempt("b", 101, 899, 200);
    assertViolations(SoakRule.ONE_ATTEMPT_AT_A_TIME);
    assertEquals(
        List.of(),
        violations(new SoakChecker.Limits(true, 2, 250 * MS, SoakPlan.BOOKING, 400 * MS)));
  }

  @Test
  void attemptBeyondTheLimitIsDetected() {
    request(0, RequestEnd.SERVED, 300);
    attempt("a", 1, 999, 10);
    attempt("b", 11, 989, 20);
    attempt("c", 21, 979, 30);
    assertViolations(SoakRule.ATTEMPT_LIMIT);
  }

  @Test
  void attemptForDepartedClientIsDetected() {
    request(0, RequestEnd.LEFT, 50);
    attempt("a", 301, 600, 320);
    assertViolations(SoakRule.DEPARTED_CLIENT);
  }

  @Test
  void attemptAtDrainingEndpointIsDetectedUntilItIsReady() {
    seen.add(new EndpointTold(0, "n0", "a", false));
    seen.add(new EndpointTold(1, "n0", "b", false));
    seen.add(new EndpointTold(2, "n0", "b", true));
    request(390, RequestEnd.SERVED, 600);
    attempt("a", 401, 900, 420);
    attempt("b", 421, 900, 440);
    assertViolations(SoakRule.DRAIN);
  }

  @Test
  void timeoutBeyondTheDeadlineIsDetected() {
    request(0, RequestEnd.SERVED, 300);
    attempt("a", 100, 1_051, 200);
    assertViolations(SoakRule.DEADLINE);
  }

  @Test
  void repeatAfterTheWindowIsDetected() {
    request(0, RequestEnd.SERVED, 900);
    attempt("a", 1, 999, 100);
    attempt("b", 552, 400, 700);
    assertViolations(SoakRule.WINDOW);
  }

  @Test
  void rejectingAllRequestsIsDetected() {
    request(0, RequestEnd.REJECTED, 1);
    assertViolations(SoakRule.SERVED_SHARE);
  }
}

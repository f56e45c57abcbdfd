package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The outcomes of queries: complete and partial answers, rejections and failures. */
class QueryCompletionTest {
  @Test
  void everyQueryGetsOneFinalOutcomeInTime() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    balancer.query(0, 300_000, 2);
    balancer.advance(300_000);
    assertTrue(
        balancer.actions.stream().anyMatch(action -> action.startsWith("reject 2 ")),
        "rejected at its own deadline: " + balancer.actions);
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(
        2, balancer.actions.stream().filter(action -> action.startsWith("reject")).count());
    int sent = balancer.sends.size();
    balancer.answerAll();
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(sent, balancer.sends.size());
    assertEquals(
        0, balancer.actions.stream().filter(action -> action.startsWith("answer")).count());
  }

  @Test
  void aPartWithoutReplicaWaitsAndThenEndsInTime() {
    BalancerHarness balancer = new BalancerHarness(new SettingsBuilder().build());
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.query(0, CLIENT_TIMEOUT_US, 1);
    balancer.advance(200_000);
    assertTrue(balancer.actions.isEmpty());
    balancer.replaceServers(ServerEntries.ready(1, 0));
    assertEquals(List.of(1), balancer.serversOf(100));
    balancer.complete(balancer.sends.get(0), AttemptOutcome.OK);
    assertTrue(balancer.actions.contains("answer 1 complete"));
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(
        2,
        balancer.actions.stream()
            .filter(action -> action.matches("(answer|reject|fail) .*"))
            .count());
  }

  @Test
  void answersOnceTheNeededWeightHasArrived() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.need = 0.67;
    settings.floor = 0.67;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3, 4, 5);
    assertEquals(5, balancer.sends.size(), "the sixth part remains as a spare");
    List<BalancerHarness.SentAttempt> sent = List.copyOf(balancer.sends);
    for (int i = 0; i < 4; i++) {
      balancer.complete(sent.get(i), AttemptOutcome.OK);
    }
    assertTrue(balancer.actions.isEmpty());
    balancer.complete(sent.get(4), AttemptOutcome.OK);
    assertEquals(List.of("answer 1 complete"), balancer.actions);
  }

  @Test
  void partialAnswersReachTheFloorAndAreNotMarkedComplete() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.floor = 0.5;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    balancer.query(0, CLIENT_TIMEOUT_US, 2, 3, 4);
    balancer.complete(balancer.sends.get(0), AttemptOutcome.OK);
    balancer.complete(balancer.sends.get(2), AttemptOutcome.OK);
    balancer.advance(CLIENT_TIMEOUT_US);
    assertTrue(balancer.actions.contains("answer 1 partial"));
    assertTrue(balancer.actions.stream().anyMatch(action -> action.startsWith("reject 2")));
  }

  @Test
  void aSecondStepNeedsAllItsParts() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.followUp = 2;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    balancer.answerAll();
    assertEquals(List.of("answer 1 complete"), balancer.actions);
    balancer.sends.clear();
    balancer.handle(new BalancerEvent.PartArrived(150, 1, 0, 0.5, 0));
    balancer.handle(new BalancerEvent.PartArrived(151, 1, 1, 0.5, 0));
    assertEquals(2, balancer.sends.size());
    balancer.complete(balancer.sends.get(0), AttemptOutcome.OK);
    assertEquals(1, balancer.actions.size());
    balancer.complete(balancer.sends.get(1), AttemptOutcome.OK);
    assertEquals(List.of("answer 1 complete", "answer 1 complete"), balancer.actions);
  }

  @Test
  void anUnattainableQueryEndsImmediately() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.maxAttempts = 1;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    balancer.complete(balancer.sends.get(0), AttemptOutcome.ERROR);
    assertEquals(List.of("reject 1 200000", "cancel 101 0"), balancer.actions);
  }

  /**
   * Guards against answers that are sent so shortly before the objective that they reach the client
   * late. The answer margin has a lower limit, because the network delay does not depend on the
   * tick.
   */
  @Test
  void theAnswerMarginHasALowerLimitForShortTicks() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.tickUs = 1_000;
    settings.floor = 0.5;
    settings.lateWeight = 0.1;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    balancer.complete(balancer.sends.get(0), AttemptOutcome.OK);
    // The objective is at 1 s.
    balancer.advance(990_000);
    assertTrue(
        balancer.actions.contains("answer 1 partial"),
        "answered 10 ms before the objective: " + balancer.actions);
  }

  @Test
  void aPartialAnswerAtTheObjectiveIsPreferredToALateOne() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.floor = 0.5;
    settings.lateWeight = 0.1;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3);
    for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends.subList(0, 3))) {
      balancer.complete(sent, AttemptOutcome.OK);
    }
    balancer.advance(900_000);
    assertFalse(
        balancer.actions.stream().anyMatch(action -> action.startsWith("answer")),
        "a complete answer is still possible: " + balancer.actions);
    balancer.advance(100_000);
    assertTrue(
        balancer.actions.contains("answer 1 partial"),
        "answered at the objective: " + balancer.actions);
  }

  @Test
  void aCompleteAnswerMayBeSentAfterTheObjectiveIfLateAnswersHaveWeight() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.lateWeight = 0.3;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.advance(2_000_000);
    balancer.complete(balancer.lastSent(), AttemptOutcome.OK);
    assertTrue(
        balancer.actions.contains("answer 1 complete"),
        "answered after the objective: " + balancer.actions);
  }

  @Test
  void aPartialFirstAnswerLeavesTimeForTheSecondStep() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.followUp = 2;
    settings.floor = 0.4;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3);
    balancer.complete(balancer.sends.get(0), AttemptOutcome.OK);
    balancer.complete(balancer.sends.get(1), AttemptOutcome.OK);
    balancer.advance(850_000);
    assertTrue(
        balancer.actions.contains("answer 1 partial"),
        "answered before the objective: " + balancer.actions);
    int before = balancer.sends.size();
    balancer.handle(new BalancerEvent.PartArrived(150, 1, 0, 0.5, 0));
    balancer.handle(new BalancerEvent.PartArrived(151, 1, 1, 0.5, 0));
    assertEquals(before + 2, balancer.sends.size());
    balancer.complete(balancer.sends.get(before), AttemptOutcome.OK);
    balancer.advance(200_000);
    assertEquals(
        2,
        balancer.actions.stream().filter("answer 1 partial"::equals).count(),
        "both steps answered partially: " + balancer.actions);
  }

  @Test
  void aSecondStepWhosePartsNeverArriveEndsInTime() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.followUp = 2;
    settings.floor = 0.4;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    balancer.answerAll();
    balancer.advance(1_100_000);
    assertEquals(
        1,
        balancer.actions.stream().filter(action -> action.startsWith("reject 1")).count(),
        "ended: " + balancer.actions);
  }

  /** A query that could not be sent is rejected early, while its client can still retry in time. */
  @Test
  void anUnsentQueryIsRejectedBeforeHalfOfItsTimeHasPassed() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.lateWeight = 0.3;
    BalancerHarness balancer = new BalancerHarness(settings.build());
    balancer.replaceServers(ServerEntries.ready(1, 0));
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.updateServers(ServerEntries.inState(1, 0, ServerState.GONE));
    balancer.complete(balancer.lastSent(), AttemptOutcome.CONNECT_FAILED);
    balancer.advance(CLIENT_TIMEOUT_US / 3);
    assertTrue(
        balancer.actions.stream().noneMatch(action -> action.startsWith("reject")),
        "not rejected while a server may still become ready: " + balancer.actions);
    balancer.advance(CLIENT_TIMEOUT_US / 6);
    assertTrue(
        balancer.actions.stream().anyMatch(action -> action.startsWith("reject")),
        "rejected before half of its time has passed: " + balancer.actions);
  }

  @Test
  void attemptsTimeOutAtTheObjectiveIfAPartialAnswerIsSentThen() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.floor = 0.5;
    settings.lateWeight = 0.1;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    assertTrue(
        balancer.lastSent().timeoutUs() <= 1_000_000,
        "timeout: " + balancer.lastSent().timeoutUs());
  }
}

package dunlinhitch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The state machine of the watch, driven by a virtual clock. */
class WatchStateMachineTest {
  private static final long SECOND_US = 1_000_000;
  private static final Settings PUSHED_SETTINGS = BrokerFixture.settings(40);
  private final List<WatchAction> actions = new ArrayList<>();
  private long now = 1_000 * SECOND_US;

  private static Settings polledSettings(int brokers) {
    return new Settings(
        brokers,
        PUSHED_SETTINGS.zones(),
        PUSHED_SETTINGS.zone(),
        PUSHED_SETTINGS.tickUs(),
        PUSHED_SETTINGS.classes(),
        PUSHED_SETTINGS.tenants(),
        PUSHED_SETTINGS.overQuotaWeight(),
        PUSHED_SETTINGS.layout(),
        PUSHED_SETTINGS.limits(),
        PUSHED_SETTINGS.rules(),
        PUSHED_SETTINGS.prices(),
        true,
        PUSHED_SETTINGS.reportsInAnswers(),
        PUSHED_SETTINGS.reportsInHealthChecks(),
        PUSHED_SETTINGS.reportFields(),
        PUSHED_SETTINGS.clientsMarkRetries());
  }

  private WatchStateMachine stateMachine(Settings settings) {
    return new WatchStateMachine(() -> WatchTimings.of(settings), 41, 7);
  }

  private void record(List<WatchAction> more) {
    actions.addAll(more);
  }

  /** Advances the clock and runs due timers while no data arrives. */
  private void passWithoutData(WatchStateMachine stateMachine, long delayUs) {
    long endUs = now + delayUs;
    while (stateMachine.nextUs() <= endUs) {
      now = stateMachine.nextUs();
      record(stateMachine.onTimer(now));
      assertTrue(stateMachine.nextUs() > now, "the next timer is not in the future");
    }
    now = endUs;
  }

  private <T extends WatchAction> List<T> actionsOf(Class<T> kind) {
    return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private WatchAction.OpenRequest lastRequest() {
    List<WatchAction.OpenRequest> requests = actionsOf(WatchAction.OpenRequest.class);
    return requests.get(requests.size() - 1);
  }

  /** Answers the latest request with a list of this generation. */
  private long openWatch(WatchStateMachine stateMachine, long generation) {
    long requestId = lastRequest().requestId();
    record(stateMachine.onResponse(now, requestId));
    record(stateMachine.onData(now, requestId, false));
    record(stateMachine.onList(now, requestId, generation));
    return requestId;
  }

  /**
   * An empty line every 2 s keeps a watch alive. Without it the watch fails well before 6 s and is
   * reopened from the known generation.
   */
  @Test
  void aSilentWatchIsReopenedAfterTheIdleTimeout() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    assertEquals(41, lastRequest().sinceGeneration());
    long requestId = openWatch(stateMachine, 50);
    for (int i = 0; i < 20; i++) {
      passWithoutData(stateMachine, 2 * SECOND_US);
      record(stateMachine.onData(now, requestId, false));
    }
    assertEquals(1, actionsOf(WatchAction.OpenRequest.class).size());
    assertEquals(List.of(), actionsOf(WatchAction.ReportUnavailable.class));
    long lastDataUs = now;
    passWithoutData(stateMachine, 3 * SECOND_US);
    assertEquals(
        new WatchAction.ReportUnavailable(lastDataUs),
        actionsOf(WatchAction.ReportUnavailable.class).get(0));
    assertEquals(50, lastRequest().sinceGeneration());
    assertTrue(actions.contains(new WatchAction.CloseRequest(requestId)));
    assertFalse(stateMachine.isActive(requestId));
    openWatch(stateMachine, 51);
    assertEquals(1, actionsOf(WatchAction.ReportRecovered.class).size());
  }

  /**
   * The agent is unreachable for 9 s without a reset, and requests sent in that time may never be
   * answered. The broker must request the list soon after the agent is reachable again, so it sends
   * a new request at least every 130 ms, with at most eight in flight.
   */
  @Test
  void anUnreachableAgentIsRequestedContinuously() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    openWatch(stateMachine, 50);
    passWithoutData(stateMachine, 4 * SECOND_US);
    for (int i = 0; i < 38; i++) {
      int requestCount = actionsOf(WatchAction.OpenRequest.class).size();
      passWithoutData(stateMachine, 130_000);
      assertTrue(actionsOf(WatchAction.OpenRequest.class).size() > requestCount);
      assertTrue(
          actionsOf(WatchAction.OpenRequest.class).size()
                  - actionsOf(WatchAction.CloseRequest.class).size()
              <= 8);
    }
    long answeredId = lastRequest().requestId();
    openWatch(stateMachine, 60);
    assertEquals(
        actionsOf(WatchAction.OpenRequest.class).size() - 1,
        actionsOf(WatchAction.CloseRequest.class).size(),
        "only the answered request remains open");
    assertTrue(stateMachine.isActive(answeredId));
  }

  /** An incomplete list ends the watch after the stall timeout, even if data still arrives. */
  @Test
  void anObjectThatStaysIncompleteEndsTheWatch() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    long requestId = openWatch(stateMachine, 50);
    long startedUs = now;
    for (int i = 0; i < 30 && stateMachine.isActive(requestId); i++) {
      record(stateMachine.onData(now, requestId, true));
      passWithoutData(stateMachine, 200_000);
    }
    assertFalse(stateMachine.isActive(requestId));
    assertTrue(now <= startedUs + 3 * SECOND_US);
    assertEquals(50, lastRequest().sinceGeneration());
  }

  /**
   * Discovery moves while it is unavailable: only the new address is requested, first for its
   * complete list and then for changes. Data from the old address is not read.
   */
  @Test
  void aMoveWhileUnavailableRequestsTheNewAddressOnly() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    openWatch(stateMachine, 50);
    passWithoutData(stateMachine, 4 * SECOND_US);
    long oldId = lastRequest().requestId();
    record(stateMachine.follow(now, "b", 2));
    assertFalse(stateMachine.isActive(oldId));
    assertEquals(WatchStateMachine.NO_GENERATION, lastRequest().sinceGeneration());
    long completeListId = openWatch(stateMachine, 3);
    assertFalse(stateMachine.isActive(completeListId));
    assertEquals(3, lastRequest().sinceGeneration());
    assertEquals("b", lastRequest().host());
  }

  /**
   * Discovery moves while the old address streams: it is read until the new one has sent a list.
   */
  @Test
  void theOldAddressIsReadUntilTheNewOneHasSentAList() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    long oldId = openWatch(stateMachine, 50);
    record(stateMachine.follow(now, "b", 2));
    record(stateMachine.onList(now, oldId, 51));
    assertTrue(stateMachine.isActive(oldId));
    openWatch(stateMachine, 3);
    assertFalse(stateMachine.isActive(oldId));
    int requests = actionsOf(WatchAction.OpenRequest.class).size();
    record(stateMachine.onFailure(now, oldId));
    assertEquals(requests, actionsOf(WatchAction.OpenRequest.class).size());
  }

  /**
   * A shared discovery fails for all brokers at the same time: they do not reconnect at the same
   * time, and their requests stay within its capacity of 1.4 per second.
   */
  @Test
  void brokersDoNotOverloadASharedDiscovery() {
    List<Long> firstRetries = new ArrayList<>();
    long requestCount = 0;
    long lateRequests = 0;
    for (int broker = 0; broker < 4; broker++) {
      WatchStateMachine stateMachine =
          new WatchStateMachine(() -> WatchTimings.of(polledSettings(4)), 41, broker);
      actions.clear();
      now = 1_000 * SECOND_US;
      record(stateMachine.follow(now, "a", 1));
      openWatch(stateMachine, 50);
      record(
          stateMachine.onFailure(now, lastRequest().requestId())); // discovery fails: watches end
      firstRetries.add(stateMachine.nextUs() / 10_000);
      for (long endUs = now + 30 * SECOND_US;
          now < endUs;
          now = stateMachine.nextUs()) { // each request fails immediately
        record(stateMachine.onTimer(now));
        record(stateMachine.onFailure(now, lastRequest().requestId()));
        lateRequests += now > endUs - 25 * SECOND_US ? 1 : 0;
      }
      requestCount += actionsOf(WatchAction.OpenRequest.class).size();
    }
    assertTrue(
        firstRetries.stream().distinct().count() >= 3, "retries are not spread: " + firstRetries);
    assertTrue(requestCount <= 1.5 * 30 + 4, "requests in 30 s: " + requestCount);
    assertTrue(lateRequests <= 1.4 * 25, "requests in the last 25 s: " + lateRequests);
    assertTrue(
        IntStream.of(1, 4, 100)
            .mapToObj(n -> WatchTimings.of(polledSettings(n)))
            .allMatch(
                times ->
                    times.backoff().maximumUs()
                        <= Math.min(4 * SECOND_US, PUSHED_SETTINGS.rules().pollWithinUs() / 2)));
  }

  @Test
  void aResyncSendsNoSecondRequest() {
    WatchStateMachine stateMachine = stateMachine(polledSettings(4));
    record(stateMachine.follow(now, "a", 1));
    record(stateMachine.resync(now));
    assertEquals(1, actionsOf(WatchAction.OpenRequest.class).size());
    openWatch(stateMachine, 50);
    record(stateMachine.resync(now));
    assertEquals(2, actionsOf(WatchAction.OpenRequest.class).size());
    record(stateMachine.stop());
    assertEquals(WatchStateMachine.NEVER, stateMachine.nextUs());
  }

  /**
   * Fault of a request sent while discovery is down. Such a request delivers no data after
   * discovery has become available again.
   */
  private enum Fault {
    REFUSED,
    RESPONDS_503,
    NEVER_CONNECTS,
    NEVER_ANSWERS,
    HEAD_ONLY,
    LATE_HEAD,
    MOVES,
    ONE_LINE,
    LIST_AND_RESET,
    LISTS_AND_SILENCE
  }

  /**
   * Returns the time of the first request at or after {@code backUs}, the time at which discovery
   * becomes available again. Each earlier request gets a random fault.
   */
  private long firstRequestAfter(
      WatchStateMachine stateMachine, long backUs, SplittableRandom random, Fault[] faults) {
    NavigableMap<Long, Runnable> script = new TreeMap<>();
    int[] processed = {0};
    for (int guard = 0; guard < 100_000; guard++) {
      for (; processed[0] < actions.size(); processed[0]++) {
        if (actions.get(processed[0]) instanceof WatchAction.OpenRequest request) {
          if (now >= backUs) {
            return now;
          }
          scheduleFault(
              stateMachine,
              backUs,
              request.requestId(),
              faults[random.nextInt(faults.length)],
              script,
              random);
        }
      }
      Map.Entry<Long, Runnable> next = script.firstEntry();
      if (next == null || next.getKey() > stateMachine.nextUs()) {
        assertTrue(
            stateMachine.nextUs() > now || (stateMachine.nextUs() == now && next == null),
            "the next timer is not in the future");
        now = Math.max(now, stateMachine.nextUs());
        record(stateMachine.onTimer(now));
      } else {
        now = script.pollFirstEntry().getKey();
        next.getValue().run();
      }
    }
    throw new AssertionError("no request was sent");
  }

  private void scheduleFault(
      WatchStateMachine stateMachine,
      long backUs,
      long requestId,
      Fault fault,
      NavigableMap<Long, Runnable> script,
      SplittableRandom random) {
    long at = now + 1 + random.nextLong(300_000);
    Runnable failure = () -> record(stateMachine.onFailure(now, requestId));
    Runnable head = whileDown(backUs, () -> stateMachine.onResponse(now, requestId));
    Runnable emptyLine = whileDown(backUs, () -> stateMachine.onData(now, requestId, false));
    Runnable listing = whileDown(backUs, () -> stateMachine.onList(now, requestId, 50));
    Runnable list =
        () -> {
          emptyLine.run();
          listing.run();
        };
    switch (fault) {
      case REFUSED -> script.put(now + 1, failure);
      case RESPONDS_503 -> script.put(at, failure);
      case NEVER_CONNECTS -> script.put(now + SECOND_US, failure);
      case HEAD_ONLY -> script.put(at, head);
      case LATE_HEAD -> script.put(now + 2_600_000 + random.nextLong(390_000), head);
      case MOVES -> script.put(at, () -> record(stateMachine.follow(now, "b" + requestId, 2)));
      case LIST_AND_RESET -> {
        script.put(at, head);
        script.put(at + 1, list);
        script.put(at + 2 + random.nextLong(3 * SECOND_US), failure);
      }
      case ONE_LINE -> {
        script.put(at, head);
        script.put(at + 1, emptyLine);
      }
      case LISTS_AND_SILENCE -> {
        script.put(at, head);
        script.put(at + 1, list);
        for (int i = 1; i < random.nextInt(4); i++) {
          script.put(at + 2L * i * SECOND_US, emptyLine);
        }
      }
      case NEVER_ANSWERS -> {}
    }
  }

  /** Passes an input to the state machine only while discovery is down. */
  private Runnable whileDown(long backUs, Supplier<List<WatchAction>> input) {
    return () -> {
      if (now < backUs) {
        record(input.get());
      }
    };
  }

  /**
   * Returns the longest delay, over 400 seeds, between the end of an outage and the next request.
   * Each seed determines the faults and the length of its outage.
   */
  private long longestDelayUs(Settings settings, Fault... faults) {
    long longestUs = 0;
    for (int seed = 0; seed < 400; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      actions.clear();
      now = 1_000 * SECOND_US;
      WatchStateMachine stateMachine =
          new WatchStateMachine(() -> WatchTimings.of(settings), 41, seed);
      record(stateMachine.follow(now, "a", 1));
      long backUs = now + SECOND_US + random.nextLong(40 * SECOND_US);
      longestUs =
          Math.max(longestUs, firstRequestAfter(stateMachine, backUs, random, faults) - backUs);
    }
    return longestUs;
  }

  /**
   * The broker must use the current list within 6 s after discovery becomes reachable. With a
   * polled discovery, a request is sent within 4.2 s, which leaves 1.8 s for the response. This
   * applies regardless of the kind and order of earlier faults.
   */
  @Test
  void afterAnyFaultsASharedDiscoveryIsReadWithinSixSeconds() {
    for (int brokers : new int[] {1, 4, 30, 100}) {
      for (Fault fault : Fault.values()) {
        long delayUs = longestDelayUs(polledSettings(brokers), fault);
        assertTrue(delayUs <= 4_200_000, brokers + " brokers, " + fault + ": " + delayUs);
      }
      long delayUs = longestDelayUs(polledSettings(brokers), Fault.values());
      assertTrue(delayUs <= 4_200_000, brokers + " brokers, all: " + delayUs);
    }
  }

  /**
   * After the agent becomes reachable again, the broker sends a request within 130 ms, or within
   * 3.2 s if the watch stopped receiving without an error.
   */
  @Test
  void afterAnyFaultsAnAgentIsRequestedPromptly() {
    long delayUs =
        longestDelayUs(
            PUSHED_SETTINGS,
            Fault.REFUSED,
            Fault.RESPONDS_503,
            Fault.NEVER_CONNECTS,
            Fault.NEVER_ANSWERS);
    assertTrue(delayUs <= 130_000, "delay of the request in us: " + delayUs);
    delayUs = longestDelayUs(PUSHED_SETTINGS, Fault.values());
    assertTrue(delayUs <= 3_200_000, "delay of the request in us: " + delayUs);
  }

  /**
   * An agent that takes 2 s to respond can still be read: the oldest request stays in flight while
   * more than ten newer requests are sent.
   */
  @Test
  void aSlowAgentIsRead() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    passWithoutData(stateMachine, 10 * SECOND_US);
    assertTrue(
        actionsOf(WatchAction.OpenRequest.class).stream()
            .anyMatch(
                request ->
                    stateMachine.isActive(request.requestId())
                        && request.requestId() < lastRequest().requestId() - 10),
        "every request is abandoned too early");
  }

  /**
   * Discovery moves again before the second address has sent a list: the first address is read
   * until the third one has sent a list.
   */
  @Test
  void aStreamingAddressIsReadAcrossAnAbandonedMove() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    long oldId = openWatch(stateMachine, 50);
    record(stateMachine.follow(now, "b", 2));
    long abandonedId = lastRequest().requestId();
    record(stateMachine.follow(now, "c", 3));
    assertTrue(stateMachine.isActive(oldId));
    assertFalse(stateMachine.isActive(abandonedId));
    openWatch(stateMachine, 3);
    assertFalse(stateMachine.isActive(oldId));
  }

  /** Consecutive lists do not count as a stall even if each chunk ends within a list. */
  @Test
  void consecutiveListsDoNotCountAsAStall() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    long requestId = openWatch(stateMachine, 50);
    for (int i = 0; i < 30; i++) {
      passWithoutData(stateMachine, 200_000);
      record(stateMachine.onData(now, requestId, true));
      record(stateMachine.onList(now, requestId, 51 + i));
    }
    assertTrue(stateMachine.isActive(requestId));
  }

  /** New settings, here from pushed to polled lists, apply to later requests. */
  @Test
  void newSettingsChangeTheTimings() {
    Settings[] settings = {PUSHED_SETTINGS};
    WatchStateMachine stateMachine =
        new WatchStateMachine(() -> WatchTimings.of(settings[0]), 41, 7);
    record(stateMachine.follow(now, "a", 1));
    passWithoutData(stateMachine, 3 * SECOND_US);
    settings[0] = polledSettings(100);
    passWithoutData(stateMachine, 5 * SECOND_US);
    int requestCount = actionsOf(WatchAction.OpenRequest.class).size();
    passWithoutData(stateMachine, 30 * SECOND_US);
    assertTrue(
        actionsOf(WatchAction.OpenRequest.class).size() - requestCount <= 12,
        "requests in 30 s: " + (actionsOf(WatchAction.OpenRequest.class).size() - requestCount));
  }

  /** A change older than the known generation is ignored, and a complete list is requested. */
  @Test
  void anOlderChangeIsIgnoredAndACompleteListRequested() {
    WatchStateMachine stateMachine = stateMachine(PUSHED_SETTINGS);
    record(stateMachine.follow(now, "a", 1));
    long requestId = openWatch(stateMachine, 50);
    assertTrue(
        stateMachine.accepts(requestId, 50, false)
            && stateMachine.accepts(requestId, 51, false)
            && stateMachine.accepts(requestId, 3, true));
    assertFalse(stateMachine.accepts(requestId, 49, false));
    record(stateMachine.onUnusableList(now, requestId));
    passWithoutData(stateMachine, 130_000);
    assertEquals(WatchStateMachine.NO_GENERATION, lastRequest().sinceGeneration());
    assertEquals(1, actionsOf(WatchAction.CountFailure.class).size());
    long completeListId = lastRequest().requestId();
    assertTrue(stateMachine.accepts(completeListId, 3, false));
    openWatch(stateMachine, 3);
    assertEquals(3, lastRequest().sinceGeneration());
  }
}

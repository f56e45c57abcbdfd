package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.config.Product;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Client.Response;
import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FlightStore;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store;
import dunlinhitch.experiments.fakes.Store.Behavior;
import dunlinhitch.experiments.fakes.Store.FirstAnswer;
import dunlinhitch.experiments.fakes.Store.ReceivedPart;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Queries in two phases over both backend protocols, with first-pass replies that are late, wrong
 * or missing. In this test every query of the class uses two phases if possible.
 */
class TwoPhasesTest {
  enum Wire {
    FRAMES,
    FLIGHT
  }

  private static final String NONE = "{}";
  private BrokerFixture fixture;
  private Store firstStore;
  private Store secondStore;
  private Client client;
  private int queryCount;

  private void begin(Wire wire, double audit, boolean mixed) throws Exception {
    fixture = new BrokerFixture();
    fixture.twoPhaseClasses =
        List.of(new Product.TwoPhaseClass("free-search", 0.4, 2, 1, audit, 0.05, 60_000_000));
    firstStore =
        wire == Wire.FRAMES ? new FrameStore(fixture.vertx, "s-0") : new FlightStore("s-0");
    secondStore =
        wire == Wire.FRAMES ? new FrameStore(fixture.vertx, "s-1") : new FlightStore("s-1");
    answerFirstPasses(part -> new FirstAnswer(part.shard() % 2 == 0 ? 0 : 3, "v1", NONE));
    if (mixed) {
      secondStore.firstAnswer = null;
    }
    fixture.publishStores(firstStore, secondStore);
    fixture.start(BrokerFixture.settings(300), null);
    client = Client.http(fixture.httpPort);
  }

  private void answerFirstPasses(Function<ReceivedPart, FirstAnswer> summary) {
    firstStore.firstAnswer = summary;
    secondStore.firstAnswer = summary;
  }

  private CompletableFuture<Response> open(int... shards) {
    String id = "q" + ++queryCount;
    return client.send(
        "free-search",
        Map.of("X-Trace-Id", id, "X-Expires-In", "1.100", "X-Show-Pruned", "1"),
        Client.body(shards));
  }

  private Response ask(int... shards) throws Exception {
    return open(shards).get(5, TimeUnit.SECONDS);
  }

  private long secondPassParts() {
    return (long) firstStore.receivedParts.size() + secondStore.receivedParts.size();
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 5_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "condition was not met in time");
      Thread.onSpinWait();
    }
  }

  @AfterEach
  void end() throws Exception {
    client.close();
    firstStore.close();
    secondStore.close();
    fixture.close();
  }

  @ParameterizedTest
  @EnumSource(Wire.class)
  void emptyBlocksArePrunedAndTheAnswerIsComplete(Wire wire) throws Exception {
    begin(wire, 0, false);
    Response response = ask(0, 1, 2, 3, 4, 5);
    assertEquals("whole", response.outcome());
    assertEquals(Set.of(0, 1, 2, 3, 4, 5), response.parts().keySet());
    assertEquals(NONE, response.parts().get(0), "must be the store's value of an empty block");
    assertTrue(response.parts().get(1).matches("s-[01]/1/tenors é"));
    assertEquals(3, secondPassParts());
    assertEquals(6, firstStore.firstPasses.size() + secondStore.firstPasses.size());
    assertEquals(3, fixture.counter("blocks_pruned"));
    response = ask(0, 2, 4);
    assertEquals("whole", response.outcome(), "all blocks are empty");
    assertEquals(3, secondPassParts());
    assertEquals(0, fixture.counter("sends_barred"));
    assertEquals(0, fixture.counter("faults"));
  }

  @ParameterizedTest
  @EnumSource(Wire.class)
  void oneBlockAndMixedBackendsUseOnePhase(Wire wire) throws Exception {
    begin(wire, 0, true);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertEquals(4, secondPassParts(), "blocks of a store without first passes must not be pruned");
    assertEquals("whole", ask(0).outcome());
    assertEquals(0, firstStore.firstPasses.size());
    assertEquals(2, fixture.counter("queries_in_one_phase"));
  }

  /**
   * First-pass replies that never arrive: the second pass starts on time, and blocks without a
   * reply are not pruned.
   */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void lateFirstPassLeavesTimeForTheSecond(Wire wire) throws Exception {
    begin(wire, 0, false);
    answerFirstPasses(part -> part.shard() < 2 ? null : new FirstAnswer(0, "v1", NONE));
    long from = System.nanoTime();
    Response response = ask(0, 1, 2, 3);
    long elapsedMs = (System.nanoTime() - from) / 1_000_000;
    assertEquals("whole", response.outcome());
    assertTrue(
        elapsedMs >= 250 && elapsedMs < 1_000, "elapsed ms, expected 250 to 1000: " + elapsedMs);
    assertEquals(2, secondPassParts());
    assertEquals(1, fixture.counter("first_passes_late"));
    assertTrue(
        response.parts().get(0).startsWith("s-"),
        "a block without a first-pass reply must get a full pass");
  }

  /** A store wrongly reports an empty block: an audit detects this and pruning is disabled. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void wrongSummaryDisablesPruning(Wire wire) throws Exception {
    begin(wire, 1, false);
    Response response = ask(0, 1, 2, 3);
    assertEquals("whole", response.outcome());
    assertEquals(4, secondPassParts(), "every block that would be pruned is audited");
    assertTrue(response.parts().get(0).startsWith("s-"), "the value of the full pass must be used");
    await(() -> fixture.counter("audits_bad") >= 1);
    assertTrue(
        fixture.logLines.stream()
            .anyMatch(line -> line.startsWith("pruning is disabled for class free-search")));
    firstStore.firstPasses.clear();
    secondStore.firstPasses.clear();
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertEquals(
        0,
        firstStore.firstPasses.size() + secondStore.firstPasses.size(),
        "queries must use one phase while pruning is disabled");
  }

  /**
   * A store fails its first passes or drains between the phases: the other store gets the full
   * passes.
   */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void endpointDrainingBetweenPhasesReceivesNoSecondPass(Wire wire) throws Exception {
    begin(wire, 0, false);
    firstStore.firstAnswerDelayMs = 200;
    secondStore.firstAnswerDelayMs = 200;
    CompletableFuture<Response> open = open(0, 1, 2, 3);
    await(() -> firstStore.firstPasses.size() + secondStore.firstPasses.size() == 4);
    fixture.discovery.pushChange(Discovery.entry(firstStore, "a", 0, "draining"));
    Response response = open.get(5, TimeUnit.SECONDS);
    assertEquals("whole", response.outcome());
    assertEquals(0, firstStore.receivedParts.size());
    assertEquals(2, secondStore.receivedParts.size());
  }

  @ParameterizedTest
  @EnumSource(Wire.class)
  void clientDisconnectBetweenPhasesEndsTheQuery(Wire wire) throws Exception {
    begin(wire, 0, false);
    firstStore.firstAnswerDelayMs = 300;
    secondStore.firstAnswerDelayMs = 300;
    CompletableFuture<Response> open = open(0, 1, 2, 3);
    await(() -> firstStore.firstPasses.size() + secondStore.firstPasses.size() == 4);
    open.cancel(true);
    await(() -> fixture.counter("client_left") == 1);
    firstStore.firstAnswerDelayMs = 1;
    secondStore.firstAnswerDelayMs = 1;
    assertEquals("whole", ask(0, 1).outcome());
    assertEquals(1, secondPassParts(), "only the second query may have a full pass");
    assertEquals(0, fixture.counter("faults"));
  }

  /** Attempts of both phases count towards one limit, and a part never has two attempts at once. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void attemptsOfBothPhasesStayWithinTheLimit(Wire wire) throws Exception {
    begin(wire, 0, false);
    firstStore.script = part -> Behavior.BAD;
    secondStore.script = part -> Behavior.BAD;
    Response response = ask(1, 3);
    assertTrue(
        List.of("failed", "late", "refused").contains(response.outcome()), response.toString());
    for (int shard : new int[] {1, 3}) {
      long attempts =
          List.of(firstStore, secondStore).stream()
              .flatMap(
                  s ->
                      java.util.stream.Stream.concat(
                          s.receivedParts.stream(), s.firstPasses.stream()))
              .filter(p -> p.shard() == shard)
              .count();
      assertTrue(attempts <= 4, "attempts for shard " + shard + ": " + attempts);
    }
  }

  /** Pruned blocks count towards the minimum share of a partial answer. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void partialAnswerCountsPrunedBlocks(Wire wire) throws Exception {
    begin(wire, 0, false);
    firstStore.script = part -> part.shard() == 1 ? Behavior.NOTHING : Behavior.GOOD;
    secondStore.script = firstStore.script;
    Response response = ask(0, 1, 2, 4);
    assertEquals("partial", response.outcome());
    assertEquals(Set.of(0, 2, 4), response.parts().keySet());
    response = ask(1, 3, 5, 7);
    assertEquals("partial", response.outcome());
    assertEquals(Set.of(3, 5, 7), response.parts().keySet());
  }

  /** A first-pass reply that arrives after the full pass was sent is ignored. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void lateSummaryChangesNothing(Wire wire) throws Exception {
    begin(wire, 0, false);
    firstStore.firstAnswerDelayMs = 450;
    secondStore.firstAnswerDelayMs = 450;
    firstStore.answerDelayMs = 300;
    secondStore.answerDelayMs = 300;
    Response response = ask(0, 1, 2, 3);
    assertEquals("whole", response.outcome());
    response
        .parts()
        .forEach(
            (shard, value) -> assertTrue(value.startsWith("s-"), "shard " + shard + ": " + value));
    assertEquals(4, secondPassParts());
    assertEquals(0, fixture.counter("bad_frames"));
    assertEquals(0, fixture.counter("blocks_pruned"));
  }

  /**
   * A block changes between two queries with the same predicate: the earlier first-pass reply must
   * not prune it.
   */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void staleSummaryNeverPrunesABlock(Wire wire) throws Exception {
    begin(wire, 0, false);
    assertEquals(NONE, ask(0, 2, 4).parts().get(2));
    answerFirstPasses(
        part ->
            new FirstAnswer(
                part.shard() == 2 ? 5 : 0,
                "v1",
                NONE)); // the store has restarted with other data but the same version
    Response response = ask(0, 2, 4);
    assertTrue(response.parts().get(2).startsWith("s-"), response.toString());
    answerFirstPasses(part -> new FirstAnswer(0, "v2", NONE)); // a booking has emptied the block
    assertEquals(NONE, ask(0, 2, 4).parts().get(0));
  }

  /**
   * A store fails between the phases: the other store gets the full passes, and no part is lost.
   */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void endpointFailingBetweenPhasesLosesNothing(Wire wire) throws Exception {
    begin(wire, 0, false);
    secondStore.firstAnswerDelayMs = 150;
    firstStore.firstAnswerDelayMs = 150;
    CompletableFuture<Response> open = open(0, 1, 2, 3, 5, 7);
    await(() -> firstStore.firstPasses.size() + secondStore.firstPasses.size() == 6);
    firstStore.close();
    Response response = open.get(5, TimeUnit.SECONDS);
    assertTrue(List.of("whole", "partial").contains(response.outcome()), response.toString());
    response
        .parts()
        .forEach(
            (shard, value) ->
                assertTrue(value.equals(NONE) ? shard % 2 == 0 : value.startsWith("s-"), value));
    assertEquals(0, fixture.counter("faults"));
  }

  /**
   * A client's retry between the phases is a separate query: both are answered, and their attempts
   * are not mixed up.
   */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void clientRetryBetweenPhasesIsASeparateQuery(Wire wire) throws Exception {
    begin(wire, 0, false);
    for (int i = 0; i < 5; i++) { // gives admission an estimate of the latency of a part
      assertEquals("whole", ask(0, 1).outcome());
    }
    firstStore.firstPasses.clear();
    secondStore.firstPasses.clear();
    firstStore.receivedParts.clear();
    secondStore.receivedParts.clear();
    firstStore.firstAnswerDelayMs = 100;
    secondStore.firstAnswerDelayMs = 100;
    CompletableFuture<Response> before = open(0, 1, 2, 3);
    await(() -> firstStore.firstPasses.size() + secondStore.firstPasses.size() == 4);
    CompletableFuture<Response> again =
        client.send(
            "free-search",
            Map.of("X-Trace-Id", "again", "X-Expires-In", "1.000", "X-Second-Try", "1"),
            Client.body(0, 1, 2, 3));
    assertEquals("whole", before.get(5, TimeUnit.SECONDS).outcome());
    assertEquals("whole", again.get(5, TimeUnit.SECONDS).outcome());
    assertEquals(4, secondPassParts());
    assertEquals(0, fixture.counter("sends_barred"));
  }
}

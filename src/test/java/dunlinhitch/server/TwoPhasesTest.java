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
  private BrokerFixture stage;
  private Store one;
  private Store two;
  private Client client;
  private int asked;

  private void begin(Wire wire, double audit, boolean mixed) throws Exception {
    stage = new BrokerFixture();
    stage.twoPhaseClasses =
        List.of(new Product.TwoPhaseClass("free-search", 0.4, 2, 1, audit, 0.05, 60_000_000));
    one = wire == Wire.FRAMES ? new FrameStore(stage.vertx, "s-0") : new FlightStore("s-0");
    two = wire == Wire.FRAMES ? new FrameStore(stage.vertx, "s-1") : new FlightStore("s-1");
    first(part -> new FirstAnswer(part.shard() % 2 == 0 ? 0 : 3, "v1", NONE));
    if (mixed) {
      two.firstAnswer = null;
    }
    stage.publishStores(one, two);
    stage.start(BrokerFixture.settings(300), null);
    client = Client.http(stage.httpPort);
  }

  private void first(Function<ReceivedPart, FirstAnswer> summary) {
    one.firstAnswer = summary;
    two.firstAnswer = summary;
  }

  private CompletableFuture<Response> open(int... shards) {
    String id = "q" + ++asked;
    return client.send(
        "free-search",
        Map.of("X-Trace-Id", id, "X-Expires-In", "1.100", "X-Show-Pruned", "1"),
        Client.body(shards));
  }

  private Response ask(int... shards) throws Exception {
    return open(shards).get(5, TimeUnit.SECONDS);
  }

  private long secondPassParts() {
    return (long) one.receivedParts.size() + two.receivedParts.size();
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
    one.close();
    two.close();
    stage.close();
  }

  @ParameterizedTest
  @EnumSource(Wire.class)
  void emptyBlocksArePrunedAndTheAnswerIsComplete(Wire wire) throws Exception {
    begin(wire, 0, false);
    Response got = ask(0, 1, 2, 3, 4, 5);
    assertEquals("whole", got.outcome());
    assertEquals(Set.of(0, 1, 2, 3, 4, 5), got.parts().keySet());
    assertEquals(NONE, got.parts().get(0), "must be the store's value of an empty block");
    assertTrue(got.parts().get(1).matches("s-[01]/1/tenors é"));
    assertEquals(3, secondPassParts());
    assertEquals(6, one.firstPasses.size() + two.firstPasses.size());
    assertEquals(3, stage.counter("blocks_pruned"));
    got = ask(0, 2, 4);
    assertEquals("whole", got.outcome(), "all blocks are empty");
    assertEquals(3, secondPassParts());
    assertEquals(0, stage.counter("sends_barred"));
    assertEquals(0, stage.counter("faults"));
  }

  @ParameterizedTest
  @EnumSource(Wire.class)
  void oneBlockAndMixedBackendsUseOnePhase(Wire wire) throws Exception {
    begin(wire, 0, true);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertEquals(4, secondPassParts(), "blocks of a store without first passes must not be pruned");
    assertEquals("whole", ask(0).outcome());
    assertEquals(0, one.firstPasses.size());
    assertEquals(2, stage.counter("queries_in_one_phase"));
  }

  /**
   * First-pass replies that never arrive: the second pass starts on time, and blocks without a
   * reply are not pruned.
   */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void lateFirstPassLeavesTimeForTheSecond(Wire wire) throws Exception {
    begin(wire, 0, false);
    first(part -> part.shard() < 2 ? null : new FirstAnswer(0, "v1", NONE));
    long from = System.nanoTime();
    Response got = ask(0, 1, 2, 3);
    long elapsedMs = (System.nanoTime() - from) / 1_000_000;
    assertEquals("whole", got.outcome());
    assertTrue(elapsedMs >= 250 && elapsedMs < 1_000, "after ms: " + elapsedMs);
    assertEquals(2, secondPassParts());
    assertEquals(1, stage.counter("first_passes_late"));
    assertTrue(
        got.parts().get(0).startsWith("s-"),
        "a block without a first-pass reply must get a full pass");
  }

  /** A store wrongly reports an empty block: an audit detects this and pruning is disabled. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void wrongSummaryDisablesPruning(Wire wire) throws Exception {
    begin(wire, 1, false);
    Response got = ask(0, 1, 2, 3);
    assertEquals("whole", got.outcome());
    assertEquals(4, secondPassParts(), "every block that would be pruned is audited");
    assertTrue(got.parts().get(0).startsWith("s-"), "the value of the full pass must be used");
    await(() -> stage.counter("audits_bad") >= 1);
    assertTrue(
        stage.logLines.stream()
            .anyMatch(line -> line.startsWith("pruning is closed for free-search")));
    one.firstPasses.clear();
    two.firstPasses.clear();
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertEquals(
        0,
        one.firstPasses.size() + two.firstPasses.size(),
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
    one.firstAnswerDelayMs = 200;
    two.firstAnswerDelayMs = 200;
    CompletableFuture<Response> open = open(0, 1, 2, 3);
    await(() -> one.firstPasses.size() + two.firstPasses.size() == 4);
    stage.discovery.pushChange(Discovery.entry(one, "a", 0, "draining"));
    Response got = open.get(5, TimeUnit.SECONDS);
    assertEquals("whole", got.outcome());
    assertEquals(0, one.receivedParts.size());
    assertEquals(2, two.receivedParts.size());
  }

  @ParameterizedTest
  @EnumSource(Wire.class)
  void clientDisconnectBetweenPhasesEndsTheQuery(Wire wire) throws Exception {
    begin(wire, 0, false);
    one.firstAnswerDelayMs = 300;
    two.firstAnswerDelayMs = 300;
    CompletableFuture<Response> open = open(0, 1, 2, 3);
    await(() -> one.firstPasses.size() + two.firstPasses.size() == 4);
    open.cancel(true);
    await(() -> stage.counter("client_left") == 1);
    one.firstAnswerDelayMs = 1;
    two.firstAnswerDelayMs = 1;
    assertEquals("whole", ask(0, 1).outcome());
    assertEquals(1, secondPassParts(), "only the second query may have a full pass");
    assertEquals(0, stage.counter("faults"));
  }

  /** Attempts of both phases count towards one limit, and a part never has two at once. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void attemptsOfBothPhasesStayWithinTheLimit(Wire wire) throws Exception {
    begin(wire, 0, false);
    one.script = part -> Behavior.BAD;
    two.script = part -> Behavior.BAD;
    Response got = ask(1, 3);
    assertTrue(List.of("failed", "late", "refused").contains(got.outcome()), got.toString());
    for (int shard : new int[] {1, 3}) {
      long attempts =
          List.of(one, two).stream()
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
    one.script = part -> part.shard() == 1 ? Behavior.NOTHING : Behavior.GOOD;
    two.script = one.script;
    Response got = ask(0, 1, 2, 4);
    assertEquals("partial", got.outcome());
    assertEquals(Set.of(0, 2, 4), got.parts().keySet());
    got = ask(1, 3, 5, 7);
    assertEquals("partial", got.outcome());
    assertEquals(Set.of(3, 5, 7), got.parts().keySet());
  }

  /** A first-pass reply that arrives after the full pass was sent is ignored. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void lateSummaryChangesNothing(Wire wire) throws Exception {
    begin(wire, 0, false);
    one.firstAnswerDelayMs = 450;
    two.firstAnswerDelayMs = 450;
    one.answerDelayMs = 300;
    two.answerDelayMs = 300;
    Response got = ask(0, 1, 2, 3);
    assertEquals("whole", got.outcome());
    got.parts()
        .forEach(
            (shard, value) -> assertTrue(value.startsWith("s-"), "shard " + shard + ": " + value));
    assertEquals(4, secondPassParts());
    assertEquals(0, stage.counter("bad_frames"));
    assertEquals(0, stage.counter("blocks_pruned"));
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
    first(
        part ->
            new FirstAnswer(
                part.shard() == 2 ? 5 : 0,
                "v1",
                NONE)); // restarted with other data but the same version
    Response got = ask(0, 2, 4);
    assertTrue(got.parts().get(2).startsWith("s-"), got.toString());
    first(part -> new FirstAnswer(0, "v2", NONE)); // the block is emptied by a booking
    assertEquals(NONE, ask(0, 2, 4).parts().get(0));
  }

  /**
   * A store fails between the phases: the other store gets the full passes, and no part is lost.
   */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void endpointFailingBetweenPhasesLosesNothing(Wire wire) throws Exception {
    begin(wire, 0, false);
    two.firstAnswerDelayMs = 150;
    one.firstAnswerDelayMs = 150;
    CompletableFuture<Response> open = open(0, 1, 2, 3, 5, 7);
    await(() -> one.firstPasses.size() + two.firstPasses.size() == 6);
    one.close();
    Response got = open.get(5, TimeUnit.SECONDS);
    assertTrue(List.of("whole", "partial").contains(got.outcome()), got.toString());
    got.parts()
        .forEach(
            (shard, value) ->
                assertTrue(value.equals(NONE) ? shard % 2 == 0 : value.startsWith("s-"), value));
    assertEquals(0, stage.counter("faults"));
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
    one.firstPasses.clear();
    two.firstPasses.clear();
    one.receivedParts.clear();
    two.receivedParts.clear();
    one.firstAnswerDelayMs = 100;
    two.firstAnswerDelayMs = 100;
    CompletableFuture<Response> before = open(0, 1, 2, 3);
    await(() -> one.firstPasses.size() + two.firstPasses.size() == 4);
    CompletableFuture<Response> again =
        client.send(
            "free-search",
            Map.of("X-Trace-Id", "again", "X-Expires-In", "1.000", "X-Second-Try", "1"),
            Client.body(0, 1, 2, 3));
    assertEquals("whole", before.get(5, TimeUnit.SECONDS).outcome());
    assertEquals("whole", again.get(5, TimeUnit.SECONDS).outcome());
    assertEquals(4, secondPassParts());
    assertEquals(0, stage.counter("sends_barred"));
  }
}

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
 * Queries in two phases over both backend protocols, with summaries that are late, wrong or
 * missing. Every query attempts two phases here.
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
      assertTrue(System.nanoTime() < end, "it never came to be");
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
    assertEquals(NONE, got.parts().get(0), "the store's own empty value");
    assertTrue(got.parts().get(1).matches("s-[01]/1/tenors é"));
    assertEquals(3, secondPassParts());
    assertEquals(6, one.firstPasses.size() + two.firstPasses.size());
    assertEquals(3, stage.counter("blocks_pruned"));
    got = ask(0, 2, 4);
    assertEquals("whole", got.outcome(), "all of them empty");
    assertEquals(3, secondPassParts());
    assertEquals(0, stage.counter("sends_barred"));
    assertEquals(0, stage.counter("faults"));
  }

  @ParameterizedTest
  @EnumSource(Wire.class)
  void oneBlockAndMixedBackendsUseOnePhase(Wire wire) throws Exception {
    begin(wire, 0, true);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertEquals(4, secondPassParts(), "a store that knows one phase is never pruned");
    assertEquals("whole", ask(0).outcome());
    assertEquals(0, one.firstPasses.size());
    assertEquals(2, stage.counter("queries_in_one_phase"));
  }

  /**
   * First answers that never come: the second pass starts on time with what is known, and nothing
   * is spared.
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
    assertTrue(got.parts().get(0).startsWith("s-"), "what had no first answer is asked in full");
  }

  /** A store that says it has nothing but has: an audit finds out, and pruning closes. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void wrongSummaryDisablesPruning(Wire wire) throws Exception {
    begin(wire, 1, false);
    Response got = ask(0, 1, 2, 3);
    assertEquals("whole", got.outcome());
    assertEquals(4, secondPassParts(), "all that would be spared is audited");
    assertTrue(got.parts().get(0).startsWith("s-"), "the full answer counts");
    await(() -> stage.counter("audits_bad") >= 1);
    assertTrue(
        stage.logLines.stream()
            .anyMatch(line -> line.startsWith("pruning is closed for free-search")));
    one.firstPasses.clear();
    two.firstPasses.clear();
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertEquals(0, one.firstPasses.size() + two.firstPasses.size(), "closed: one phase");
  }

  /**
   * A store that fails its first passes, or drains between the phases: the other does the full
   * work.
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
    assertEquals(1, secondPassParts(), "only of the second query");
    assertEquals(0, stage.counter("faults"));
  }

  /** Attempts of both phases count together, and never are two out for a part. */
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

  /** The least share of an answer counts what was spared as well as what came in full. */
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

  /** What comes after its block was sent in full is passed over; the full answer counts. */
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
   * A block changes between two queries, under the same predicate: what was known of it spares
   * nothing.
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
                NONE)); // restarted with other data, under the same version
    Response got = ask(0, 2, 4);
    assertTrue(got.parts().get(2).startsWith("s-"), got.toString());
    first(part -> new FirstAnswer(0, "v2", NONE)); // and emptied by a booking
    assertEquals(NONE, ask(0, 2, 4).parts().get(0));
  }

  /** A store that dies between the phases: the full work goes to the other, the answer is whole. */
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
   * A client that asks again in the middle gets an answer for each, with no attempt of one mistaken
   * for the other's.
   */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void clientRetryBetweenPhasesIsASeparateQuery(Wire wire) throws Exception {
    begin(wire, 0, false);
    for (int i = 0; i < 5; i++) { // what a part takes is known then, and admission has no doubts
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

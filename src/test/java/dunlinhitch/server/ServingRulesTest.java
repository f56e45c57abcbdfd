package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Client.Response;
import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FlightStore;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store;
import dunlinhitch.experiments.fakes.Store.Behavior;
import dunlinhitch.experiments.fakes.Store.ReceivedPart;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The rules for serving queries, checked for every combination of client and backend protocol, and
 * for mixed backends.
 */
class ServingRulesTest {
  enum Path {
    HTTP_TO_FRAMES,
    HTTP_TO_FLIGHT,
    FLIGHT_TO_FRAMES,
    FLIGHT_TO_FLIGHT,
    HTTP_TO_MIXED,
    FLIGHT_TO_MIXED;

    Client client(BrokerFixture fixture) {
      return name().startsWith("HTTP")
          ? Client.http(fixture.httpPort)
          : Client.flight(fixture.broker.flightPort());
    }

    Store store(BrokerFixture fixture, int number) throws Exception {
      boolean flight = name().endsWith("FLIGHT") || (name().endsWith("MIXED") && number == 0);
      return flight ? new FlightStore("s-" + number) : new FrameStore(fixture.vertx, "s-" + number);
    }
  }

  private BrokerFixture fixture;
  private Store firstStore;
  private Store secondStore;
  private Client client;
  private int queryCount;

  private void begin(Path path, int maximumInFlight) throws Exception {
    fixture = new BrokerFixture();
    firstStore = path.store(fixture, 0);
    secondStore = path.store(fixture, 1);
    fixture.publishStores(firstStore, secondStore);
    fixture.start(BrokerFixture.twoSteps(maximumInFlight), null);
    client = path.client(fixture);
    assertNotNull(fixture.discovery.requests.poll(5, TimeUnit.SECONDS));
  }

  @AfterEach
  void end() throws Exception {
    client.close();
    firstStore.close();
    secondStore.close();
    fixture.close();
  }

  private CompletableFuture<Response> ask(String queryClass, int... shards) {
    String id = "q" + ++queryCount;
    return client.send(
        queryClass,
        Map.of("X-Trace-Id", id, "X-Expires-In", "1.100", "Idempotency-Key", "key-" + id),
        Client.body(shards));
  }

  private CompletableFuture<Response> askWithKey(String key, String id) {
    return client.send(
        "slot-booking",
        Map.of("X-Trace-Id", id, "X-Expires-In", "1.100", "Idempotency-Key", key),
        Client.body(2));
  }

  private static Response wait(CompletableFuture<Response> answer) throws Exception {
    return answer.get(5, TimeUnit.SECONDS);
  }

  private void script(java.util.function.Function<ReceivedPart, Behavior> script) {
    firstStore.script = script;
    secondStore.script = script;
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void completeAnswerContainsTheBackendsValues(Path path) throws Exception {
    begin(path, 300);
    Response response = wait(ask("free-search", 0, 1, 2, 3, 4, 5));
    assertEquals("whole", response.outcome());
    assertEquals(6, response.parts().size());
    response
        .parts()
        .forEach(
            (shard, value) -> assertTrue(value.matches("s-[01]/" + shard + "/tenors é"), value));
    assertTrue(
        firstStore.receivedParts.size() > 0 && secondStore.receivedParts.size() > 0,
        "both stores have the shards, so both must be used");
    for (ReceivedPart part : firstStore.receivedParts) {
      assertTrue(
          part.list().matches("d=[0-9]+") && part.id().equals("q1." + part.shard()),
          part.toString());
    }
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void interruptedStreamRetriesOnlyTheMissingParts(Path path) throws Exception {
    begin(path, 300);
    AtomicInteger taken = new AtomicInteger();
    firstStore.script = part -> taken.incrementAndGet() == 2 ? Behavior.CUT : Behavior.GOOD;
    Response response = wait(ask("free-search", 0, 1, 2, 3, 4, 5, 6, 7));
    assertEquals("whole", response.outcome());
    String first = firstStore.receivedParts.peek().id();
    assertTrue(
        response.parts().get(firstStore.receivedParts.peek().shard()).startsWith("s-0/"),
        "the completely received row must be part of the answer");
    assertEquals(1, firstStore.receivedParts.stream().filter(p -> p.id().equals(first)).count());
    assertTrue(secondStore.receivedParts.stream().noneMatch(p -> p.id().equals(first)));
    assertTrue(fixture.counter("attempts_reset") >= 1);
  }

  /**
   * An attempt with a malformed answer may have run: it is retried, and only values from a store
   * reach the client.
   */
  @ParameterizedTest
  @EnumSource(Path.class)
  void malformedAnswerIsAFailureAndNeverForwarded(Path path) throws Exception {
    begin(path, 300);
    for (Behavior behavior : List.of(Behavior.NO_TEXT, Behavior.NO_PART, Behavior.NO_END)) {
      AtomicInteger taken = new AtomicInteger();
      script(part -> taken.incrementAndGet() == 1 ? behavior : Behavior.GOOD);
      Response response = wait(ask("slot-booking", 5));
      assertEquals("whole", response.outcome(), behavior.name());
      assertTrue(response.parts().get(5).matches("s-[01]/5/tenors é"), behavior.name());
      assertEquals(2, taken.get(), behavior.name());
    }
    assertEquals(3, fixture.counter("bad_frames"));
  }

  /** A duplicate answer or a bad load report affects neither the valid answer nor later answers. */
  @ParameterizedTest
  @EnumSource(Path.class)
  void duplicateOrBadLoadReportDoesNotFailTheAnswer(Path path) throws Exception {
    begin(path, 300);
    for (Behavior behavior : List.of(Behavior.TWICE, Behavior.NO_REPORT)) {
      script(part -> behavior);
      for (int i = 0; i < 3; i++) {
        assertEquals("whole", wait(ask("free-search", 0, 1, 2, 3)).outcome(), behavior.name());
      }
    }
    assertEquals(24, fixture.counter("attempts_sent"));
    assertEquals(24, fixture.counter("attempts_served"));
    assertEquals(0, fixture.counter("bad_frames"));
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void partialAnswerReachesTheMinimumAndIsNotMarkedComplete(Path path) throws Exception {
    begin(path, 300);
    script(part -> part.shard() == 3 ? Behavior.NOTHING : Behavior.GOOD);
    Response response = wait(ask("free-search", 0, 1, 2, 3));
    assertEquals("partial", response.outcome());
    assertEquals(Set.of(0, 1, 2), response.parts().keySet());
    script(part -> part.shard() >= 2 ? Behavior.NOTHING : Behavior.GOOD);
    response = wait(ask("free-search", 0, 1, 2, 3));
    assertTrue(
        List.of("refused", "late").contains(response.outcome()),
        "half of the answer is below the minimum: " + response);
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void partWithIdempotencyKeyIsRetriedWithItOneAtATime(Path path) throws Exception {
    begin(path, 300);
    AtomicInteger taken = new AtomicInteger();
    script(part -> taken.incrementAndGet() == 1 ? Behavior.BAD : Behavior.GOOD);
    assertEquals("whole", wait(ask("slot-booking", 5)).outcome());
    assertEquals(2, firstStore.receivedParts.size() + secondStore.receivedParts.size());
    for (Store store : List.of(firstStore, secondStore)) {
      store.receivedParts.forEach(p -> assertTrue(p.list().endsWith(",k=key-q1"), p.list()));
    }
    script(part -> Behavior.BAD);
    firstStore.receivedParts.clear();
    secondStore.receivedParts.clear();
    assertEquals("failed", wait(ask("slot-booking", 5)).outcome());
    assertTrue(
        firstStore.receivedParts.size() + secondStore.receivedParts.size() <= 4,
        "number of attempts must match the settings");
  }

  /**
   * A client's retry while its first query is in flight is a separate query with its own parts;
   * stores recognise it by the idempotency key.
   */
  @ParameterizedTest
  @EnumSource(Path.class)
  void repeatedIdempotencyKeyInFlightIsASeparateQuery(Path path) throws Exception {
    begin(path, 300);
    script(part -> part.id().startsWith("q1.") ? Behavior.NOTHING : Behavior.GOOD);
    var unused = askWithKey("same", "q1"); // this query is never answered
    while (firstStore.receivedParts.isEmpty() && secondStore.receivedParts.isEmpty()) {
      Thread.onSpinWait();
    }
    assertEquals("whole", wait(askWithKey("same", "q2")).outcome());
    List<ReceivedPart> seen = new ArrayList<>(firstStore.receivedParts);
    seen.addAll(secondStore.receivedParts);
    assertEquals(
        Set.of("q1.2", "q2.2"), seen.stream().map(ReceivedPart::id).collect(Collectors.toSet()));
    assertTrue(seen.stream().allMatch(part -> part.list().endsWith(",k=same")), seen.toString());
    assertEquals(0, fixture.counter("sends_barred") + fixture.counter("turned_away"));
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void rejectedPartIsRetriedAtAnotherEndpoint(Path path) throws Exception {
    begin(path, 300);
    firstStore.script = part -> Behavior.LATER;
    assertEquals("whole", wait(ask("slot-booking", 1)).outcome());
    assertEquals("whole", wait(ask("free-search", 0, 1, 2, 3)).outcome());
    assertEquals(0, fixture.counter("sends_barred"));
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void drainingEndpointReceivesNothingNew(Path path) throws Exception {
    begin(path, 300);
    assertEquals("whole", wait(ask("free-search", 0, 1, 2, 3)).outcome());
    fixture.discovery.pushChange(Discovery.entry(firstStore, "a", 0, "draining"));
    while (fixture.counter("roster_news") < 2) {
      Thread.onSpinWait();
    }
    firstStore.receivedParts.clear();
    for (int i = 0; i < 5; i++) {
      assertEquals("whole", wait(ask("free-search", 0, 1, 2, 3)).outcome());
    }
    assertNull(firstStore.receivedParts.poll());
    fixture.discovery.pushChange(Discovery.entry(firstStore, "a", 0, "gone"));
    assertEquals("whole", wait(ask("slot-booking", 0)).outcome());
    assertNull(firstStore.receivedParts.poll());
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void finalAnswerPrecedesTheClientsDeadline(Path path) throws Exception {
    begin(path, 300);
    script(part -> Behavior.NOTHING);
    long from = System.nanoTime();
    Response response = wait(ask("slot-booking", 2));
    long elapsedMs = (System.nanoTime() - from) / 1_000_000;
    assertEquals("late", response.outcome());
    assertTrue(
        elapsedMs >= 800 && elapsedMs < 1_500, "elapsed ms, expected 800 to 1500: " + elapsedMs);
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void clientDisconnectCancelsTheAttempt(Path path) throws Exception {
    begin(path, 300);
    script(part -> Behavior.NOTHING);
    CompletableFuture<Response> answer = ask("slot-booking", 2);
    ReceivedPart part = null;
    while (part == null) {
      part = firstStore.receivedParts.poll(10, TimeUnit.MILLISECONDS);
      part = part == null ? secondStore.receivedParts.poll(10, TimeUnit.MILLISECONDS) : part;
    }
    answer.cancel(true);
    String cancelled = null;
    while (cancelled == null) {
      cancelled = firstStore.cancelledParts.poll(10, TimeUnit.MILLISECONDS);
      cancelled =
          cancelled == null
              ? secondStore.cancelledParts.poll(10, TimeUnit.MILLISECONDS)
              : cancelled;
    }
    assertEquals(part.id(), cancelled);
    assertEquals(1, fixture.counter("client_left"));
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void rejectionIsImmediateWithRetryAfter(Path path) throws Exception {
    begin(path, 4);
    script(part -> Behavior.NOTHING);
    CompletableFuture<Response> admitted = ask("slot-booking", 2);
    while (fixture.counter("queries_taken") < 1) {
      Thread.onSpinWait();
    }
    Response response = wait(ask("free-search", 0, 1, 2));
    assertEquals("refused", response.outcome());
    assertTrue(Double.parseDouble(response.retryAfter()) > 0);
    assertFalse(admitted.isDone());
    assertEquals("late", wait(admitted).outcome());
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void malformedQueriesAreRejected(Path path) throws Exception {
    begin(path, 300);
    for (String body :
        List.of(
            "",
            "[]",
            "{\"ranges\":[],\"predicate\":\"x\"}",
            Client.body(99),
            Client.body(1, 1),
            Client.body(1).replace("1.0", "0.6"),
            "{\"ranges\":[{\"range\":1,\"portion\":1}]}")) {
      assertEquals("bad", wait(ask("free-search", body)).outcome(), body);
    }
    assertEquals(
        "bad",
        wait(client.send("free-search", Map.of("X-Trace-Id", "a b"), Client.body(1))).outcome());
    assertEquals(
        "bad",
        wait(client.send("slot-booking", Map.of("X-Trace-Id", "a"), Client.body(1))).outcome());
    assertEquals(
        "bad", wait(client.send("other", Map.of("X-Trace-Id", "a"), Client.body(1))).outcome());
    assertEquals(0, fixture.counter("queries_taken"));
  }

  /**
   * Guards against a query text that is altered, sent to a store and served: over every path a text
   * that cannot be passed on unchanged is rejected, and any other reaches the store as it was sent.
   */
  @ParameterizedTest
  @EnumSource(Path.class)
  void textsReachTheStoresUnchangedOrNotAtAll(Path path) throws Exception {
    begin(path, 300);
    byte[] latin = Client.body(1).getBytes(StandardCharsets.ISO_8859_1);
    String id = "X-Trace-Id";
    assertEquals("bad", wait(client.send("free-search", Map.of(id, "a"), latin)).outcome());
    for (String half : List.of("\\ud83c", "\\udfb5", "\\udfb5\\ud83c")) {
      String body = Client.body(1).replace("é", half);
      assertEquals("bad", wait(ask("free-search", body)).outcome(), half);
    }
    assertEquals(0, firstStore.receivedParts.size() + secondStore.receivedParts.size());
    for (String text : List.of("é", "\uD83C\uDFB5", "\uFFFD", "\u0000")) {
      String escaped = Json.value(text).toString().replace("\"", "");
      assertEquals(
          "whole", wait(ask("free-search", Client.body(1).replace("é", escaped))).outcome());
      ReceivedPart part = firstStore.receivedParts.poll();
      part = part == null ? secondStore.receivedParts.poll() : part;
      assertEquals("tenors " + text, part.text());
    }
  }

  private CompletableFuture<Response> ask(String queryClass, String body) {
    return client.send(queryClass, Map.of("X-Trace-Id", "q" + ++queryCount), body);
  }

  private List<ReceivedPart> secondParts() {
    return java.util.stream.Stream.concat(
            firstStore.receivedParts.stream(), secondStore.receivedParts.stream())
        .filter(p -> p.id().endsWith(".r"))
        .toList();
  }

  /**
   * The second step queries the parts with the two highest scores of four, and its answer is
   * returned. A score that is not a number ranks last.
   */
  @ParameterizedTest
  @EnumSource(Path.class)
  void secondStepQueriesBestPartsAndProvidesAnswer(Path path) throws Exception {
    begin(path, 300);
    firstStore.score = part -> part.shard() == 3 ? "much" : "" + 1840277000L * (1 + part.shard());
    secondStore.score = firstStore.score;
    Response response = wait(ask("report", 0, 1, 2, 3));
    assertEquals("whole", response.outcome());
    assertEquals(Set.of(1, 2), response.parts().keySet());
    response
        .parts()
        .forEach(
            (shard, value) ->
                assertTrue(value.matches("s-[01]/" + shard + "/tenors é/again"), value));
    assertEquals(2, secondParts().size());
    for (ReceivedPart part : secondParts()) {
      assertEquals("q1." + part.shard() + ".r", part.id());
      assertTrue(part.list().matches("d=[0-9]+,from=0\\+1\\+2\\+3,whole=1"), part.list());
    }
    assertEquals(1, fixture.counter("second_steps"));
    assertEquals(1, fixture.counter("bad_scores"));
  }

  /**
   * In a class that requires all parts, a query whose second step is incomplete gets no answer. The
   * limit on attempts applies to the parts of the second step too.
   */
  @ParameterizedTest
  @EnumSource(Path.class)
  void incompleteSecondStepIsNotAnAnswer(Path path) throws Exception {
    begin(path, 300);
    script(part -> part.id().equals("q1.0.r") ? Behavior.BAD : Behavior.GOOD);
    Response response = wait(ask("report", 0, 1));
    assertTrue(
        List.of("refused", "late", "failed").contains(response.outcome()), response.toString());
    long attempts = secondParts().stream().filter(p -> p.id().equals("q1.0.r")).count();
    assertTrue(
        attempts >= 2 && attempts <= 4,
        "parts must be retried within the limit of the settings: " + attempts);
    AtomicInteger rejections = new AtomicInteger();
    script(
        part ->
            part.id().equals("q2.0.r") && rejections.getAndIncrement() == 0
                ? Behavior.LATER
                : Behavior.GOOD);
    assertEquals(
        "whole",
        wait(ask("report", 0, 1)).outcome(),
        "a rejected part must be retried at another endpoint");
    assertEquals(2, rejections.get());
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void incompleteFirstStepHasNoSecondStep(Path path) throws Exception {
    begin(path, 300);
    script(part -> part.shard() == 3 ? Behavior.NOTHING : Behavior.GOOD);
    Response response = wait(ask("report", 0, 1, 2, 3));
    assertTrue(List.of("refused", "late").contains(response.outcome()), response.toString());
    assertEquals(List.of(), secondParts());
  }

  /**
   * A query with no tenant, an unknown tenant or two tenants is served as unnamed; unknown tenants
   * are counted.
   */
  @ParameterizedTest
  @EnumSource(Path.class)
  void unknownTenantsAreServedAsUnnamed(Path path) throws Exception {
    begin(path, 300);
    for (String customer :
        List.of("north", "south", "", "nobody", "N".repeat(4000), "north,south")) {
      Map<String, String> headers =
          new java.util.HashMap<>(
              Map.of("X-Trace-Id", "t" + ++queryCount, "X-Expires-In", "1.100"));
      if (!customer.isEmpty()) {
        headers.put("X-Customer", customer);
      }
      assertEquals(
          "whole",
          wait(client.send("free-search", headers, Client.body(0, 1))).outcome(),
          customer);
    }
    assertEquals(4, fixture.counter("tenants_unknown"));
  }

  @ParameterizedTest
  @EnumSource(Path.class)
  void queriesAdmittedBeforeShutdownAreAnswered(Path path) throws Exception {
    begin(path, 300);
    script(part -> Behavior.NOTHING);
    CompletableFuture<Response> open = ask("slot-booking", 2);
    while (fixture.counter("attempts_sent") < 1) {
      Thread.onSpinWait();
    }
    CompletableFuture<Void> ended = fixture.stop();
    script(part -> Behavior.GOOD);
    assertEquals(
        "whole",
        wait(ask("free-search", 0, 1)).outcome(),
        "queries must be accepted during the grace period");
    assertTrue(
        List.of("whole", "late").contains(wait(open).outcome()), "open queries must be answered");
    ended.get(10, TimeUnit.SECONDS);
  }
}

package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.discovery.dnssd.Names;
import dunlinhitch.discovery.dnssd.Question;
import dunlinhitch.experiments.dns.FakeNameServer;
import dunlinhitch.experiments.dns.FakeNameServer.Fault;
import dunlinhitch.experiments.dns.Zone;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Client.Response;
import dunlinhitch.experiments.fakes.FlightStore;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Type;

/**
 * A complete broker whose backends are registered in DNS, over both backend protocols, with faulty
 * name servers.
 */
class DnsDiscoveryTest {
  private static final String SERVICE = "_calendar._tcp.rooms.example.org.";

  enum Wire {
    FRAMES,
    FLIGHT
  }

  @TempDir private Path folder;
  private BrokerFixture fixture;
  private FakeNameServer responder;
  private final Vertx dns = Vertx.vertx();
  private final Zone zone = new Zone("rooms.example.org.");
  private Store firstStore;
  private Store secondStore;
  private Client client;
  private int queryCount;

  private void prepare(Wire wire) throws Exception {
    responder = new FakeNameServer(dns, zone);
    fixture = new BrokerFixture();
    fixture.membershipTimes =
        new Product.MembershipTimes(2_000_000, 3_600_000_000L, 500_000, 4_000_000, 60_000_000);
    firstStore =
        wire == Wire.FRAMES ? new FrameStore(fixture.vertx, "s-0") : new FlightStore("s-0");
    secondStore =
        wire == Wire.FRAMES ? new FrameStore(fixture.vertx, "s-1") : new FlightStore("s-1");
    announce(firstStore, 0);
    announce(secondStore, 1);
  }

  private List<Record> records(Store store, int cell, String... more) {
    List<String> textValues =
        new ArrayList<>(
            List.of("id=" + store.name, "cell=" + cell, "zone=a", "protocol=" + store.protocol()));
    textValues.addAll(List.of(more));
    return Zone.store(
        SERVICE,
        "Store " + store.name + " (hall)",
        "127.0.0.1",
        store.port(),
        120,
        textValues.toArray(String[]::new));
  }

  private void announce(Store store, int cell) {
    zone.change(List.of(), records(store, cell));
  }

  private static Record pointer(Store store) {
    return Zone.pointer(SERVICE, "Store " + store.name + " (hall)", 120);
  }

  private void start(boolean push, long soaEveryUs) throws Exception {
    Address pushed = push ? new Address("localhost", responder.startPush(folder)) : null;
    fixture.start(BrokerFixture.settings(300), service(soaEveryUs, pushed));
    client = Client.http(fixture.httpPort);
    await(
        () ->
            fixture
                .broker
                .counters()
                .lines()
                .anyMatch(l -> l.startsWith("roster_news") && !l.endsWith(" 0")));
    if (push) {
      await(() -> responder.subscriptions() >= 6);
    }
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + 10_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "condition was not met in time");
      Thread.onSpinWait();
    }
  }

  private Response ask(int... shards) throws Exception {
    String id = "q" + ++queryCount;
    return client
        .send("free-search", Map.of("X-Trace-Id", id, "X-Expires-In", "1.000"), Client.body(shards))
        .get(5, TimeUnit.SECONDS);
  }

  @AfterEach
  void end() throws Exception {
    if (client != null) {
      client.close();
    }
    firstStore.close();
    secondStore.close();
    fixture.close();
    responder.close();
    dns.close();
  }

  @ParameterizedTest
  @EnumSource(Wire.class)
  void withdrawnEndpointReceivesNothingAndResumesUnchanged(Wire wire) throws Exception {
    prepare(wire);
    start(true, 0);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertTrue(
        firstStore.receivedParts.size() > 0 && secondStore.receivedParts.size() > 0,
        "both endpoints must be in use");
    zone.remove(pointer(firstStore));
    await(() -> fixture.counter("members_withdrawn") == 1);
    firstStore.receivedParts.clear();
    for (int i = 0; i < 5; i++) {
      assertEquals("whole", ask(0, 1, 2, 3).outcome());
    }
    assertEquals(0, firstStore.receivedParts.size(), "a withdrawn endpoint got a new part");
    zone.add(pointer(firstStore));
    await(
        () -> {
          try {
            return ask(0, 1, 2, 3).outcome().equals("whole") && firstStore.receivedParts.size() > 0;
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
    assertEquals(
        0, fixture.counter("members_gone"), "the endpoint returned before it was considered gone");
  }

  /** A part that waits for a connection to a withdrawn endpoint is never sent to it. */
  @ParameterizedTest
  @EnumSource(Wire.class)
  void partWaitingForAConnectionMovesToAnotherEndpoint(Wire wire) throws Exception {
    prepare(wire);
    start(true, 0);
    zone.remove(pointer(firstStore));
    zone.remove(pointer(secondStore));
    await(() -> fixture.counter("members_withdrawn") == 2);
    firstStore.receivedParts.clear();
    secondStore.receivedParts.clear();
    var open =
        client.send(
            "free-search",
            Map.of("X-Trace-Id", "open", "X-Expires-In", "1.000"),
            Client.body(0, 1));
    await(() -> fixture.counter("queries_taken") == 1);
    zone.add(pointer(secondStore));
    Response response = open.get(5, TimeUnit.SECONDS);
    assertTrue(List.of("whole", "refused").contains(response.outcome()), response.toString());
    assertEquals(0, firstStore.receivedParts.size());
  }

  @Test
  void followsTheZoneSerialWithoutPush() throws Exception {
    prepare(Wire.FRAMES);
    start(false, 100_000);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    await(() -> responder.queries.stream().anyMatch(q -> q.type() == Type.SOA));
    zone.remove(pointer(firstStore)); // the record's TTL is 120 s, but the zone serial changes
    await(() -> fixture.counter("members_withdrawn") == 1);
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {
        "LATE",
        "LOST",
        "FORGED_ID",
        "FORGED_PORT",
        "HALF",
        "NO_AUTHORITY",
        "SERVFAIL",
        "REFUSED",
        "NOISE"
      })
  void lostAndForgedAnswersWithdrawNothing(Fault fault) throws Exception {
    prepare(Wire.FRAMES);
    start(false, 50_000);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    responder.script = q -> q.type() == Type.SOA ? Fault.NONE : fault;
    responder.queries.clear();
    zone.empty(); // no valid answer reports the empty zone yet
    await(() -> responder.queries.stream().filter(q -> q.type() == Type.PTR).count() >= 2);
    firstStore.receivedParts.clear();
    secondStore.receivedParts.clear();
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertEquals(4, firstStore.receivedParts.size() + secondStore.receivedParts.size());
    assertEquals(0, fixture.counter("members_withdrawn"));
    responder.script = q -> Fault.NONE; // from now on valid answers report the empty zone
    await(() -> fixture.counter("members_withdrawn") == 2);
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"NONE", "DOUBLED", "TRUNCATED"})
  void servesFromUnusualButCompleteAnswers(Fault fault) throws Exception {
    prepare(Wire.FRAMES);
    responder.script = q -> fault;
    start(false, 0);
    await(() -> fixture.counter("roster_news") >= 1);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
  }

  @Test
  void interruptedPushSessionIsReestablished() throws Exception {
    prepare(Wire.FRAMES);
    start(true, 0);
    responder.cutSessions(true);
    await(() -> fixture.counter("push_ended") >= 1);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    await(() -> responder.subscriptions() >= 6);
    zone.remove(pointer(secondStore));
    await(() -> fixture.counter("members_withdrawn") == 1);
  }

  /** What makes the records' changes unseen. */
  enum Gap {
    SESSION_LOST,
    SESSION_LOST_FOR_GOOD,
    SESSION_AND_SERIAL_LOST,
    SESSION_SILENT,
    NOTHING_PUSHED
  }

  /**
   * Guards against an endpoint that gets work without end because its record was withdrawn while no
   * push session reported it, or while a silent one seemed to be up.
   */
  @ParameterizedTest
  @EnumSource(Gap.class)
  void recordWithdrawnUnseenIsWithdrawnWithinTheBound(Gap gap) throws Exception {
    prepare(Wire.FRAMES);
    responder.pushesNothing = gap == Gap.NOTHING_PUSHED;
    start(true, 0);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    if (gap == Gap.SESSION_AND_SERIAL_LOST) {
      responder.script = question -> question.type() == Type.SOA ? Fault.LOST : Fault.NONE;
    }
    if (gap.name().endsWith("LOST") || gap == Gap.SESSION_LOST_FOR_GOOD) {
      responder.refusesSessions = true;
      responder.queries.clear();
      responder.cutSessions(false);
      await(() -> responder.queries.stream().anyMatch(q -> q.type() == Type.PTR));
    }
    if (gap == Gap.SESSION_SILENT) {
      responder.silenceSessions();
    }
    zone.remove(pointer(firstStore));
    responder.refusesSessions = gap != Gap.SESSION_LOST;
    long withdrawnNs = System.nanoTime();
    await(() -> fixture.counter("members_withdrawn") == 1);
    long seenMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - withdrawnNs);
    System.out.println("withdrawn unseen, " + gap + ": noticed after " + seenMs + " ms");
    firstStore.receivedParts.clear();
    for (int i = 0; i < 5; i++) {
      assertEquals("whole", ask(0, 1, 2, 3).outcome());
    }
    assertEquals(0, firstStore.receivedParts.size(), "a withdrawn endpoint got a new part");
    assertEquals(0, fixture.counter("faults"));
  }

  /** Guards against a change between the first answer and the first subscription after a start. */
  @Test
  void recordWithdrawnBeforeTheFirstSubscriptionIsWithdrawn() throws Exception {
    prepare(Wire.FRAMES);
    responder.refusesSessions = true;
    Address pushed = new Address("localhost", responder.startPush(folder));
    fixture.start(BrokerFixture.settings(300), service(0, pushed));
    client = Client.http(fixture.httpPort);
    await(() -> fixture.counter("roster_news") >= 1);
    responder.script = question -> question.type() == Type.SOA ? Fault.REFUSED : Fault.NONE;
    zone.remove(pointer(firstStore));
    responder.refusesSessions = false;
    await(() -> fixture.counter("members_withdrawn") == 1);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
  }

  /**
   * Malformed push messages; {@link #lostAndForgedAnswersWithdrawNothing} covers malformed answers.
   */
  @Test
  void survivesThousandsOfMalformedPushMessages() throws Exception {
    prepare(Wire.FRAMES);
    start(true, 0);
    Random random = new Random(11);
    for (int i = 0; i < 2_000; i++) {
      byte[] noise = new byte[random.nextInt(60)];
      random.nextBytes(noise);
      // The header of every second message passes the first checks.
      if (noise.length > 3 && i % 2 == 0) {
        noise[2] = (byte) 0x30;
        noise[3] = 0;
        java.util.Arrays.fill(noise, 4, Math.min(12, noise.length), (byte) 0);
      }
      responder.pushRaw(Buffer.buffer().appendUnsignedShort(noise.length).appendBytes(noise));
    }
    await(() -> fixture.counter("push_ended") >= 1);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertEquals(0, fixture.counter("faults"));
    assertEquals(0, fixture.counter("members_withdrawn"));
  }

  /**
   * Two records for one id contradict each other: nothing is sent to the endpoint until one of the
   * records is withdrawn.
   */
  @Test
  void disputedEndpointReceivesNothingUntilSettled() throws Exception {
    prepare(Wire.FRAMES);
    start(true, 0);
    List<Record> other =
        Zone.store(
            SERVICE,
            "Impostor",
            "127.0.0.1",
            secondStore.port() == 9 ? 10 : 9,
            120,
            "id=s-0",
            "cell=0",
            "zone=a");
    zone.change(List.of(), other);
    await(() -> fixture.counter("members_disputed") == 1);
    firstStore.receivedParts.clear();
    for (int i = 0; i < 3; i++) {
      assertEquals("whole", ask(0, 1, 2, 3).outcome());
    }
    assertEquals(0, firstStore.receivedParts.size());
    zone.remove(Zone.pointer(SERVICE, "Impostor", 120));
    await(
        () -> {
          try {
            return ask(0, 1).outcome().equals("whole") && firstStore.receivedParts.size() > 0;
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private Product.DnsService service(long soaEveryUs, Address push) {
    return new Product.DnsService(
        "main",
        List.of(new Address("127.0.0.1", responder.port())),
        SERVICE,
        List.of(),
        1,
        null,
        soaEveryUs,
        push,
        push == null ? null : responder.trust(),
        null,
        4096);
  }

  @Test
  void restartWithDnsDownServesFromTheSavedState() throws Exception {
    prepare(Wire.FRAMES);
    fixture.stateDirectory = folder.resolve("state");
    start(false, 0);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    await(() -> Files.exists(folder.resolve("state/roster.state")));
    fixture.stop().get(10, TimeUnit.SECONDS);
    client.close();
    responder.script = q -> Fault.LOST;
    BrokerFixture again = new BrokerFixture();
    again.stateDirectory = fixture.stateDirectory;
    again.start(BrokerFixture.settings(300), service(0, null));
    client = Client.http(again.httpPort);
    assertEquals("whole", ask(0, 1, 2, 3).outcome());
    assertTrue(
        again.logLines.stream().anyMatch(line -> line.contains("2 claims from")),
        again.logLines.toString());
    again.close();
    // a damaged file is set aside and logged once
    Path file = folder.resolve("state/roster.state");
    byte[] bytes = Files.readAllBytes(file);
    bytes[bytes.length / 2] ^= 4;
    Files.write(file, bytes);
    BrokerFixture third = new BrokerFixture();
    third.stateDirectory = fixture.stateDirectory;
    third.start(BrokerFixture.settings(300), service(0, null));
    assertEquals(1, third.logLines.stream().filter(line -> line.contains("set aside")).count());
    assertTrue(Files.exists(folder.resolve("state/roster.state.damaged")));
    third.close();
  }

  /**
   * The broker's own records are present once it is ready and removed as the first step of a
   * shutdown. The server accepts only signed updates.
   */
  @Test
  void registersItselfAndDeregistersFirst() throws Exception {
    prepare(Wire.FRAMES);
    zone.updatesBy(new TSIG(TSIG.HMAC_SHA256, "broker.", "c2VjcmV0IHNlY3JldCBzZWNyZXQ="), 60);
    Path key =
        Files.writeString(
            folder.resolve("key"), "broker. hmac-sha256 c2VjcmV0IHNlY3JldCBzZWNyZXQ=\n");
    fixture.announcement =
        new Product.Announcement(
            new Address("127.0.0.1", responder.port()),
            "rooms.example.org.",
            "_broker._tcp.rooms.example.org.",
            "n0 east.wing",
            "n0",
            new Address("127.0.0.1", 7070),
            List.of("v=1"),
            120_000_000,
            3_600_000_000L,
            key);
    start(false, 0);
    Name service = Names.parse("_broker._tcp.rooms.example.org.");
    await(() -> !zone.get(new Question(service, Type.PTR)).isEmpty());
    Name instance = Names.parse("n0\\032east\\.wing._broker._tcp.rooms.example.org.");
    assertEquals(
        1,
        zone.get(new Question(instance, Type.SRV)).size(),
        "an instance name may contain spaces and dots");
    var unused = fixture.stop(); // the test waits only for the deregistration, the first step
    await(
        () ->
            zone.get(new Question(service, Type.PTR)).isEmpty()
                && zone.all(instance, Type.ANY).isEmpty());
    assertEquals("whole", ask(0, 1).outcome(), "connected clients are still served");
  }
}

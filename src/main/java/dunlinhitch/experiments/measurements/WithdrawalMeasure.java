package dunlinhitch.experiments.measurements;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.dns.BaselineResolver;
import dunlinhitch.experiments.dns.FakeNameServer;
import dunlinhitch.experiments.dns.Zone;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.FlightStore;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.Record;

/**
 * Withdraws stores under load and lists them again. Measures the time until a broker detects a
 * withdrawal, and the time from the detection until the store receives its last part. Compares DNS
 * push, polling of the zone's serial, and the baseline resolver.
 */
final class WithdrawalMeasure implements Measures.Measure {
  private static final String SERVICE = "_calendar._tcp.rooms.example.org.";
  private static final int STORES = 8;
  private static final int QUERIES_PER_SECOND = 100;
  private static final int PARTS = 4;
  private static final int WORK_MS = 25;
  private static final long SOA_US = 100_000;
  private static final int BASELINE_TTL_S = 2;

  /** Time after a withdrawal during which parts that still arrive at the store are recorded. */
  private static final long OBSERVATION_NANOS = 300_000_000;

  private static final long BOUND_US = 250_000;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) throws Exception {
    int count = quick ? 20 : 500;
    out.printf(
        "%-28s %6s %10s %10s %10s   %10s %10s %10s%n",
        "way", "n", "seen p50", "p99", "most", "last p50", "p99", "most");
    double worst = 0;
    for (boolean flight : new boolean[] {false, true}) {
      worst =
          Math.max(worst, measureBroker("push, " + wire(flight), true, flight, count, seed, out));
      worst =
          Math.max(
              worst,
              measureBroker("serial 100 ms, " + wire(flight), false, flight, count, seed, out));
    }
    measureBaseline(quick ? 5 : 60, seed, out);
    out.println(
        "times in ms; way: method of discovery; seen: from the change of the zone to the broker's new endpoint list; "
            + "last: from the new list to the last part that the store received (0 if none); most: maximum; "
            + STORES
            + " stores, "
            + QUERIES_PER_SECOND
            + " queries per second of "
            + PARTS
            + " parts");
    return new Measures.Verdict(
        "seen-to-last-send-most", worst / 1000, "ms", BOUND_US / 1000.0, true);
  }

  private static String wire(boolean flight) {
    return flight ? "flight" : "frames";
  }

  private static void printRow(
      PrintStream out, String label, Histogram detection, Histogram lastSend) {
    out.printf(
        Locale.ROOT,
        "%-28s %6d %10.1f %10.1f %10.1f   %10s %10s %10s%n",
        label,
        detection.getTotalCount(),
        detection.getValueAtPercentile(50) / 1e3,
        detection.getValueAtPercentile(99) / 1e3,
        detection.getMaxValue() / 1e3,
        lastSend == null ? "-" : ms(lastSend.getValueAtPercentile(50)),
        lastSend == null ? "-" : ms(lastSend.getValueAtPercentile(99)),
        lastSend == null ? "-" : ms(lastSend.getMaxValue()));
  }

  private static String ms(long us) {
    return String.format(Locale.ROOT, "%.1f", us / 1e3);
  }

  private static List<Record> records(Store store, int cell, long ttlS) {
    return Zone.store(
        SERVICE,
        store.name,
        "127.0.0.1",
        store.port(),
        ttlS,
        "id=" + store.name,
        "cell=" + cell,
        "zone=a",
        "protocol=" + store.protocol());
  }

  /**
   * Returns the maximum time from the detection of a withdrawal to the last part, in microseconds.
   */
  private double measureBroker(
      String label, boolean push, boolean flight, int count, long seed, PrintStream out)
      throws Exception {
    Path directory = Files.createTempDirectory("withdrawal");
    Vertx dnsVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Zone zone = new Zone("rooms.example.org.");
    FakeNameServer nameServer = new FakeNameServer(dnsVertx, zone);
    BrokerFixture fixture = new BrokerFixture();
    fixture.membershipTimes =
        new Product.MembershipTimes(10_000_000, 3_600_000_000L, 0, 0, 1_000_000);
    Vertx storeVertx = Vertx.vertx();
    List<Store> stores = startStores(flight, storeVertx, zone);
    Map<String, Long> detectionNanos = new ConcurrentHashMap<>();
    fixture.logListener =
        line -> {
          if (line.contains(" is withdrawn")) {
            detectionNanos.put(line.split(" ", 0)[1], System.nanoTime());
          }
        };
    Address pushAddress = push ? new Address("localhost", nameServer.startPush(directory)) : null;
    fixture.start(BrokerFixture.settings(300), dnsService(nameServer, pushAddress));
    while (push && nameServer.subscriptions() < 2 * STORES + 2) {
      Thread.onSpinWait();
    }
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicLong answered = new AtomicLong();
    Thread load = load(fixture.httpPort, seed, stopped, answered);
    Withdrawals withdrawals = new Withdrawals(zone, stores, detectionNanos);
    withdrawals.run(count, seed);
    stopped.set(true);
    load.join();
    printRow(out, label, withdrawals.detection, withdrawals.lastSend);
    fixture.close();
    long minParts = stores.stream().mapToLong(store -> store.receivedParts.size()).min().orElse(0);
    for (Store store : stores) {
      store.close();
    }
    nameServer.close();
    dnsVertx.close();
    storeVertx.close();
    if (answered.get() == 0 || minParts == 0) {
      throw new IllegalStateException(
          "expected complete answers and parts at every store, but "
              + answered.get()
              + " queries were answered completely and the minimum number of parts at a store was "
              + minParts);
    }
    return withdrawals.lastSend.getMaxValue();
  }

  private static List<Store> startStores(boolean flight, Vertx vertx, Zone zone) throws Exception {
    List<Store> stores = new ArrayList<>();
    for (int i = 0; i < STORES; i++) {
      Store store = flight ? new FlightStore("s-" + i) : new FrameStore(vertx, "s-" + i);
      store.answerDelayMs = WORK_MS;
      stores.add(store);
      zone.change(List.of(), records(store, i % 2, 120));
    }
    return stores;
  }

  /**
   * Returns the settings of discovery by push, or by polling the serial if {@code pushAddress} is
   * null.
   */
  private static Product.DnsService dnsService(FakeNameServer nameServer, Address pushAddress) {
    boolean push = pushAddress != null;
    return new Product.DnsService(
        "main",
        List.of(new Address("127.0.0.1", nameServer.port())),
        SERVICE,
        List.of(),
        1,
        null,
        push ? 0 : SOA_US,
        pushAddress,
        push ? nameServer.trust() : null,
        null,
        4096);
  }

  /** Withdraws stores, lists them again and records the reactions of the broker. */
  private static final class Withdrawals {
    /** Time from the change of the zone to its detection, in microseconds. */
    private final Histogram detection = new Histogram(60_000_000, 3);

    /** Time from the detection to the last part that the store received, in microseconds. */
    private final Histogram lastSend = new Histogram(60_000_000, 3);

    private final Zone zone;
    private final List<Store> stores;
    private final Map<String, Long> detectionNanos;

    Withdrawals(Zone zone, List<Store> stores, Map<String, Long> detectionNanos) {
      this.zone = zone;
      this.stores = stores;
      this.detectionNanos = detectionNanos;
    }

    void run(int count, long seed) throws InterruptedException {
      SplittableRandom random = new SplittableRandom(seed);
      Thread.sleep(300);
      for (int done = 0; done < count; done += 2) {
        // withdraws two stores at a time, one of each cell, so that every shard still has stores
        List<Store> withdrawn =
            List.of(
                stores.get(2 * random.nextInt(STORES / 2)),
                stores.get(2 * random.nextInt(STORES / 2) + 1));
        Thread.sleep(random.nextInt(20));
        withdraw(withdrawn);
        awaitRecovery(withdrawn);
      }
    }

    private void withdraw(List<Store> withdrawn) throws InterruptedException {
      detectionNanos.clear();
      long startNanos = System.nanoTime();
      withdrawn.forEach(store -> zone.remove(Zone.pointer(SERVICE, store.name, 120)));
      while (detectionNanos.size() < withdrawn.size()
          && System.nanoTime() - startNanos < 10_000_000_000L) {
        Thread.sleep(1);
      }
      if (detectionNanos.size() < withdrawn.size()) {
        throw new IllegalStateException(
            "the broker detected only "
                + detectionNanos.size()
                + " of "
                + withdrawn.size()
                + " withdrawals within 10 s");
      }
      Thread.sleep(OBSERVATION_NANOS / 1_000_000);
      for (Store store : withdrawn) {
        long detectedNanos = detectionNanos.get(store.name);
        detection.recordValue((detectedNanos - startNanos) / 1000);
        lastSend.recordValue(Math.max(0, (store.lastReceivedNanos - detectedNanos) / 1000));
        zone.add(Zone.pointer(SERVICE, store.name, 120));
      }
    }

    /** Waits up to one second until the stores receive parts again. */
    private static void awaitRecovery(List<Store> listed) throws InterruptedException {
      long startNanos = System.nanoTime();
      for (Store store : listed) {
        while (store.lastReceivedNanos < startNanos
            && System.nanoTime() - startNanos < 1_000_000_000L) {
          Thread.sleep(1);
        }
      }
    }
  }

  /** Starts a thread that sends queries at a fixed rate (open loop). */
  private static Thread load(int port, long seed, AtomicBoolean stopped, AtomicLong answered) {
    Client client = Client.http(port);
    Thread thread =
        new Thread(
            () -> {
              SplittableRandom random = new SplittableRandom(seed);
              long intervalNanos = 1_000_000_000L / QUERIES_PER_SECOND;
              long dueNanos = System.nanoTime();
              for (int i = 0; !stopped.get(); i++) {
                int first = random.nextInt(20);
                var unused =
                    client
                        .send(
                            "free-search",
                            Map.of("X-Trace-Id", "l" + i, "X-Expires-In", "1.000"),
                            Client.body(first, first + 1, first + 2, first + 3))
                        .thenAccept(
                            response ->
                                answered.addAndGet(response.outcome().equals("whole") ? 1 : 0));
                dueNanos += intervalNanos;
                java.util.concurrent.locks.LockSupport.parkNanos(dueNanos - System.nanoTime());
              }
            },
            "load");
    thread.start();
    return thread;
  }

  /** Measures the time until the baseline resolver detects a change of records with a short TTL. */
  private static void measureBaseline(int count, long seed, PrintStream out) throws Exception {
    Vertx dnsVertx = Vertx.vertx();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Zone zone = new Zone("rooms.example.org.");
    FakeNameServer nameServer = new FakeNameServer(dnsVertx, zone);
    Map<String, Record> pointers = new HashMap<>();
    for (int i = 0; i < STORES; i++) {
      List<Record> records =
          Zone.store(
              SERVICE,
              "s-" + i,
              "127.0.0.1",
              7000 + i,
              BASELINE_TTL_S,
              "id=s-" + i,
              "cell=0",
              "zone=a");
      pointers.put("s-" + i, records.get(0));
      zone.change(List.of(), records);
    }
    Set<String> listed = ConcurrentHashMap.newKeySet();
    AtomicLong updateNanos = new AtomicLong();
    startBaseline(vertx, nameServer.port(), listed, updateNanos);
    Histogram detection = new Histogram(60_000_000, 3);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < count; i++) {
      while (listed.size() < STORES) {
        Thread.sleep(1);
      }
      Thread.sleep(random.nextInt(BASELINE_TTL_S * 500));
      String name = "s-" + random.nextInt(STORES);
      long startNanos = System.nanoTime();
      zone.remove(pointers.get(name));
      while (listed.contains(name)) {
        Thread.sleep(1);
      }
      detection.recordValue((updateNanos.get() - startNanos) / 1000);
      zone.add(pointers.get(name));
    }
    printRow(out, "baseline: TTL " + BASELINE_TTL_S + " s", detection, null);
    vertx.close();
    dnsVertx.close();
    nameServer.close();
  }

  /**
   * Starts the baseline resolver. Each endpoint list replaces the content of {@code listed} and
   * sets {@code updateNanos}.
   */
  private static void startBaseline(
      Vertx vertx, int port, Set<String> listed, AtomicLong updateNanos) {
    Context context = vertx.getOrCreateContext();
    context.runOnContext(
        v ->
            new BaselineResolver(
                    vertx,
                    context,
                    "127.0.0.1",
                    port,
                    SERVICE,
                    new EndpointListReader(List.of("a"), e -> {}),
                    event -> {
                      if (event instanceof Event.EndpointsUpdated update) {
                        Set<String> names =
                            new HashSet<>(update.endpoints().stream().map(Endpoint::name).toList());
                        listed.addAll(names);
                        listed.retainAll(names);
                        updateNanos.set(System.nanoTime());
                      }
                    },
                    new MicroClock())
                .start());
  }
}

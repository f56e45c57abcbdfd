package dunlinhitch.experiments.measurements;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.dns.BaselineResolver;
import dunlinhitch.experiments.dns.Responder;
import dunlinhitch.experiments.dns.Zone;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.FlightStore;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Stage;
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
 * Stores are withdrawn under load, one after the other, and come back: how long after a withdrawal
 * was seen a part still came to the store, and how long it took to be seen, by push, by the zone's
 * serial, and by the look-up there was before.
 */
final class WithdrawalMeasure implements Measures.Measure {
  private static final String SERVICE = "_calendar._tcp.rooms.example.org.";
  private static final int STORES = 8;
  private static final int QUERIES_A_SECOND = 100;
  private static final int PARTS = 4;
  private static final int WORK_MS = 25;
  private static final long SOA_US = 100_000;
  private static final int OLD_TTL_S = 2;

  /** A store is watched for so long after it was withdrawn. */
  private static final long WATCHED_NANOS = 300_000_000;

  private static final long BOUND_US = 250_000;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) throws Exception {
    int times = quick ? 20 : 500;
    out.printf(
        "%-28s %6s %10s %10s %10s   %10s %10s %10s%n",
        "way", "n", "seen p50", "p99", "most", "last p50", "p99", "most");
    double worst = 0;
    for (boolean flight : new boolean[] {false, true}) {
      worst = Math.max(worst, withBroker("push, " + wire(flight), true, flight, times, seed, out));
      worst =
          Math.max(
              worst, withBroker("serial 100 ms, " + wire(flight), false, flight, times, seed, out));
    }
    old(quick ? 5 : 60, seed, out);
    out.println(
        "ms; seen: from the change of the zone to the broker's roster; last: from then to the last part that came "
            + "to the store, 0 where none did; "
            + STORES
            + " stores, "
            + QUERIES_A_SECOND
            + " queries a second of "
            + PARTS
            + " parts");
    return new Measures.Verdict(
        "seen-to-last-send-most", worst / 1000, "ms", BOUND_US / 1000.0, true);
  }

  private static String wire(boolean flight) {
    return flight ? "flight" : "frames";
  }

  private static void row(PrintStream out, String way, Histogram seen, Histogram last) {
    out.printf(
        Locale.ROOT,
        "%-28s %6d %10.1f %10.1f %10.1f   %10s %10s %10s%n",
        way,
        seen.getTotalCount(),
        seen.getValueAtPercentile(50) / 1e3,
        seen.getValueAtPercentile(99) / 1e3,
        seen.getMaxValue() / 1e3,
        last == null ? "-" : ms(last.getValueAtPercentile(50)),
        last == null ? "-" : ms(last.getValueAtPercentile(99)),
        last == null ? "-" : ms(last.getMaxValue()));
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

  /** The most microseconds between seen and the last send. */
  private double withBroker(
      String way, boolean push, boolean flight, int times, long seed, PrintStream out)
      throws Exception {
    Path folder = Files.createTempDirectory("withdrawal");
    Vertx dns = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Zone zone = new Zone("rooms.example.org.");
    Responder responder = new Responder(dns, zone);
    Stage stage = new Stage();
    stage.membershipTimes =
        new Product.MembershipTimes(10_000_000, 3_600_000_000L, 0, 0, 1_000_000);
    Vertx peers = Vertx.vertx();
    List<Store> stores = new ArrayList<>();
    for (int i = 0; i < STORES; i++) {
      Store store = flight ? new FlightStore("s-" + i) : new FrameStore(peers, "s-" + i);
      store.answerDelayMs = WORK_MS;
      stores.add(store);
      zone.change(List.of(), records(store, i % 2, 120));
    }
    Map<String, Long> seenNanos = new ConcurrentHashMap<>();
    stage.logListener =
        line -> {
          if (line.contains(" is withdrawn")) {
            seenNanos.put(line.split(" ", 0)[1], System.nanoTime());
          }
        };
    Address pushed = push ? new Address("localhost", responder.startPush(folder)) : null;
    stage.start(
        Stage.settings(300),
        new Product.DnsService(
            "main",
            List.of(new Address("127.0.0.1", responder.port())),
            SERVICE,
            List.of(),
            1,
            null,
            push ? 0 : SOA_US,
            pushed,
            push ? responder.trust() : null,
            null,
            4096));
    while (push && responder.subscriptions() < 2 * STORES + 2) {
      Thread.onSpinWait();
    }
    AtomicBoolean over = new AtomicBoolean();
    AtomicLong answered = new AtomicLong();
    Thread load = load(stage.httpPort, seed, over, answered);
    Histogram seen = new Histogram(60_000_000, 3);
    Histogram last = new Histogram(60_000_000, 3);
    SplittableRandom random = new SplittableRandom(seed);
    Thread.sleep(300);
    for (int done = 0; done < times; ) {
      // two at a time, one of each cell, so that each block keeps stores
      List<Store> out2 =
          List.of(
              stores.get(2 * random.nextInt(STORES / 2)),
              stores.get(2 * random.nextInt(STORES / 2) + 1));
      Thread.sleep(random.nextInt(20));
      seenNanos.clear();
      long from = System.nanoTime();
      out2.forEach(store -> zone.remove(Zone.pointer(SERVICE, store.name, 120)));
      while (seenNanos.size() < out2.size() && System.nanoTime() - from < 10_000_000_000L) {
        Thread.sleep(1);
      }
      if (seenNanos.size() < out2.size()) {
        throw new IllegalStateException("a withdrawal was not seen within 10 s");
      }
      Thread.sleep(WATCHED_NANOS / 1_000_000);
      for (Store store : out2) {
        long at = seenNanos.get(store.name);
        seen.recordValue((at - from) / 1000);
        last.recordValue(Math.max(0, (store.lastReceivedNanos - at) / 1000));
        zone.add(Zone.pointer(SERVICE, store.name, 120));
        done++;
      }
      long backFrom = System.nanoTime();
      for (Store store : out2) { // back in use before the next
        while (store.lastReceivedNanos < backFrom
            && System.nanoTime() - backFrom < 1_000_000_000L) {
          Thread.sleep(1);
        }
      }
    }
    over.set(true);
    load.join();
    row(out, way, seen, last);
    stage.close();
    long least = stores.stream().mapToLong(store -> store.receivedParts.size()).min().orElse(0);
    for (Store store : stores) {
      store.close();
    }
    responder.close();
    dns.close();
    peers.close();
    if (answered.get() == 0 || least == 0) {
      throw new IllegalStateException("there was no load, or a store without any");
    }
    return last.getMaxValue();
  }

  /** Queries at a fixed rate, whatever becomes of those before. */
  private static Thread load(int port, long seed, AtomicBoolean over, AtomicLong answered) {
    Client client = Client.http(port);
    Thread thread =
        new Thread(
            () -> {
              SplittableRandom random = new SplittableRandom(seed);
              long gap = 1_000_000_000L / QUERIES_A_SECOND;
              long due = System.nanoTime();
              for (int i = 0; !over.get(); i++) {
                int first = random.nextInt(20);
                var unused =
                    client
                        .send(
                            "free-search",
                            Map.of("X-Trace-Id", "l" + i, "X-Expires-In", "1.000"),
                            Client.body(first, first + 1, first + 2, first + 3))
                        .thenAccept(
                            got -> answered.addAndGet(got.outcome().equals("whole") ? 1 : 0));
                due += gap;
                java.util.concurrent.locks.LockSupport.parkNanos(due - System.nanoTime());
              }
            },
            "load");
    thread.start();
    return thread;
  }

  /**
   * The look-up before this, with a TTL that is short for a zone: only how long it took to see a
   * change.
   */
  private static void old(int times, long seed, PrintStream out) throws Exception {
    Vertx dns = Vertx.vertx();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Zone zone = new Zone("rooms.example.org.");
    Responder responder = new Responder(dns, zone);
    Map<String, Record> pointers = new HashMap<>();
    for (int i = 0; i < STORES; i++) {
      List<Record> records =
          Zone.store(
              SERVICE, "s-" + i, "127.0.0.1", 7000 + i, OLD_TTL_S, "id=s-" + i, "cell=0", "zone=a");
      pointers.put("s-" + i, records.get(0));
      zone.change(List.of(), records);
    }
    Set<String> listed = ConcurrentHashMap.newKeySet();
    AtomicLong newsNanos = new AtomicLong();
    Context context = vertx.getOrCreateContext();
    context.runOnContext(
        v ->
            new BaselineResolver(
                    vertx,
                    context,
                    "127.0.0.1",
                    responder.port(),
                    SERVICE,
                    new EndpointListReader(List.of("a"), e -> {}),
                    event -> {
                      if (event instanceof Event.EndpointsUpdated news) {
                        Set<String> names =
                            new HashSet<>(news.endpoints().stream().map(Endpoint::name).toList());
                        listed.addAll(names);
                        listed.retainAll(names);
                        newsNanos.set(System.nanoTime());
                      }
                    },
                    new MicroClock())
                .start());
    Histogram seen = new Histogram(60_000_000, 3);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < times; i++) {
      while (listed.size() < STORES) {
        Thread.sleep(1);
      }
      Thread.sleep(random.nextInt(OLD_TTL_S * 500));
      String name = "s-" + random.nextInt(STORES);
      long from = System.nanoTime();
      zone.remove(pointers.get(name));
      while (listed.contains(name)) {
        Thread.sleep(1);
      }
      seen.recordValue((newsNanos.get() - from) / 1000);
      zone.add(pointers.get(name));
    }
    row(out, "before: TTL " + OLD_TTL_S + " s", seen, null);
    vertx.close();
    dns.close();
    responder.close();
  }
}

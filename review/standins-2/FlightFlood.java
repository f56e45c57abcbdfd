import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.arrow.flight.CallOptions;
import org.apache.arrow.flight.FlightCallHeaders;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStatusCode;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.HeaderCallOption;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.memory.RootAllocator;

/** Bad clients of the Arrow Flight front send hundreds of requests at once beside usual ones. */
final class FlightFlood {
  private static final int USUAL_CLIENTS = 6;
  private static final int BAD_CLIENTS = 10;
  private static final int BAD_REQUESTS_AT_ONCE = 100;
  private static final int TEXT_BYTES = 60_000;
  private static final long BEFORE_MS = 3_000;
  private static final long FLOOD_MS = 8_000;
  private static final long AFTER_MS = 6_000;
  /** What a usual client waits, as it tells the broker. */
  private static final long EXPIRES_MS = 2_000;
  /** A request is lost if it has no answer half a second after its time, and 50 ms more on sockets. */
  private static final long LOST_AFTER_MS = EXPIRES_MS + 500 + 50;
  private static final long WATCH_MS = 5_000;

  private static final RootAllocator ALLOCATOR = new RootAllocator(1L << 30);

  private final Rig rig;
  private final Location broker;
  private final AtomicInteger answeredBefore = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger never = new AtomicInteger();
  private final Map<String, AtomicInteger> badOutcomes = new ConcurrentSkipListMap<>();
  private volatile boolean asking = true;
  private volatile long floodAtMs = Long.MAX_VALUE;

  private FlightFlood(Rig rig, int port) {
    this.rig = rig;
    broker = Location.forGrpcInsecure("127.0.0.1", port);
  }

  public static void main(String[] args) throws Exception {
    Rig.main(args, FlightFlood::run);
  }

  private static int run(Rig rig) throws Exception {
    List<Store> stores = new ArrayList<>();
    try (Agent agent = new Agent()) {
      for (int i = 0; i < 6; i++) {
        Store store = new Store("s-" + i);
        stores.add(store);
        agent.put(store.name, Agent.entry(store.name, store.port(), i % 4 < 2 ? "abdali-room" : "tlaa-room", i % 2, "ready"));
      }
      int port = Rig.freePort();
      rig.startBroker(Rig.settings(3_000_000, 4_000_000), agent.port(), "discovery on\n[flight]\nlisten 127.0.0.1:" + port + "\n");
      FlightFlood flood = new FlightFlood(rig, port);
      List<Thread> usual = new ArrayList<>();
      for (int i = 0; i < USUAL_CLIENTS; i++) {
        usual.add(start(flood::askAsUsual));
      }
      Thread.sleep(BEFORE_MS);
      flood.floodAtMs = Rig.nowMs();
      if (Rig.TROUBLE) {
        rig.note(BAD_CLIENTS + " bad clients begin");
        for (int i = 0; i < BAD_CLIENTS; i++) {
          start(flood::flood);
        }
      }
      Thread.sleep(FLOOD_MS + AFTER_MS);
      flood.asking = false;
      for (Thread client : usual) {
        client.join(WATCH_MS + 1000);
      }
      rig.note("bad clients: " + flood.badOutcomes);
      rig.note("usual clients: answered in time " + flood.answeredBefore + " before and " + flood.answered
          + " later; later than 0.5 s after their time " + flood.late + ", never " + flood.never);
      for (Store store : stores) {
        rig.noteParts(store.name, store.parts);
        store.close();
      }
      boolean ran = flood.answeredBefore.get() >= 50;
      return !ran ? Rig.NOT_RUN : flood.late.get() + flood.never.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task, "flight-client");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Sends a query and returns how it ended; empty if there was no answer. */
  private String ask(FlightClient client, String queryClass, String id, byte[] body, long waitMs) {
    FlightCallHeaders headers = new FlightCallHeaders();
    headers.insert("X-Trace-Id", id);
    headers.insert("Idempotency-Key", "k" + id);
    headers.insert("X-Expires-In", "2.000");
    headers.insert("X-Qos", queryClass);
    return end(open(client, headers, body, waitMs));
  }

  private static FlightStream open(FlightClient client, FlightCallHeaders headers, byte[] body, long waitMs) {
    return client.getStream(
        new Ticket(body), new HeaderCallOption(headers), CallOptions.timeout(waitMs, TimeUnit.MILLISECONDS));
  }

  private static String end(FlightStream stream) {
    try (stream) {
      while (stream.next()) {
        // reads all rows
      }
      return "served";
    } catch (FlightRuntimeException e) {
      boolean out = "out of time".equals(e.status().description());
      return e.status().code() == FlightStatusCode.TIMED_OUT && !out ? "" : e.status().code().name();
    } catch (Exception e) {
      return e.getClass().getSimpleName();
    }
  }

  private static byte[] body(String text) {
    return ("{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],\"predicate\":\"" + text + "\"}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private void askAsUsual() {
    FlightClient client = FlightClient.builder(ALLOCATOR, broker).build();
    for (int i = 0; asking; i++) {
      String id = rig.nextId();
      long sentMs = Rig.nowMs();
      String outcome = ask(client, i % 2 == 0 ? "free-search" : "slot-booking", id, body("altos"), WATCH_MS);
      long tookMs = Rig.nowMs() - sentMs;
      rig.note("query " + id + " sent at " + sentMs + ", after " + tookMs + " ms " + (outcome.isEmpty() ? "LOST: no answer" : outcome));
      if (outcome.isEmpty()) {
        never.incrementAndGet();
      } else if (tookMs > LOST_AFTER_MS) {
        late.incrementAndGet();
      } else {
        (sentMs < floodAtMs ? answeredBefore : answered).incrementAndGet();
      }
      pause(40);
    }
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends requests for a class that does not exist, a hundred at once, and reads what is sent back. */
  private void flood() {
    byte[] body = body("a".repeat(TEXT_BYTES));
    FlightClient client = FlightClient.builder(ALLOCATOR, broker).build();
    while (Rig.nowMs() < floodAtMs + FLOOD_MS) {
      List<FlightStream> open = new ArrayList<>();
      for (int i = 0; i < BAD_REQUESTS_AT_ONCE; i++) {
        FlightCallHeaders headers = new FlightCallHeaders();
        headers.insert("X-Trace-Id", rig.nextId());
        headers.insert("X-Qos", "no-such-class");
        open.add(open(client, headers, body, WATCH_MS));
      }
      for (FlightStream stream : open) {
        String outcome = end(stream);
        badOutcomes.computeIfAbsent(outcome.isEmpty() ? "no answer" : outcome, key -> new AtomicInteger()).incrementAndGet();
      }
    }
  }
}

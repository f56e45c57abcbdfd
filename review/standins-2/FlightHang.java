import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import io.grpc.netty.NettyServerBuilder;
import org.apache.arrow.flight.Action;
import org.apache.arrow.flight.FlightServer;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.NoOpFlightProducer;
import org.apache.arrow.flight.Result;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/** A store that speaks Arrow Flight hangs in the middle of its work and is told to drain meanwhile. */
final class FlightHang {
  private static final int CALLS_PER_CONNECTION = 16;
  private static final long GRACE_MS = 250 + 50;
  private static final long HANG_MS = 2_000;
  private static final int QUERIES_PER_S = 60;
  private static final List<String> COLUMNS = List.of("id", "end", "score", "report", "value");

  /** A stand-in store that speaks Arrow Flight and serves so many calls of a connection at once. */
  private static final class FlightStandIn extends NoOpFlightProducer {
    private final Schema schema =
        new Schema(COLUMNS.stream().map(name -> Field.nullable(name, ArrowType.Utf8.INSTANCE)).toList());
    private final RootAllocator allocator = new RootAllocator(64 << 20);
    private final FlightServer server;
    private final Rig rig;
    final List<Store.Part> parts = new CopyOnWriteArrayList<>();
    volatile long workMs = 30;
    volatile long hangUntilMs;

    FlightStandIn(Rig rig) throws Exception {
      this.rig = rig;
      Consumer<NettyServerBuilder> limit =
          builder -> builder.maxConcurrentCallsPerConnection(CALLS_PER_CONNECTION);
      server =
          FlightServer.builder(allocator, Location.forGrpcInsecure("127.0.0.1", 0), this)
              .executor(
                  Executors.newCachedThreadPool(
                      task -> {
                        Thread thread = new Thread(task, "flight-store");
                        thread.setDaemon(true);
                        return thread;
                      }))
              .transportHint("grpc.builderConsumer", limit)
              .build()
              .start();
    }

    int port() {
      return server.getPort();
    }

    @Override
    public void getStream(CallContext context, Ticket ticket, ServerStreamListener listener) {
      List<Store.Part> call = read(ticket.getBytes());
      parts.addAll(call);
      try {
        Thread.sleep(Math.max(workMs, hangUntilMs - Rig.nowMs()));
        try (VectorSchemaRoot rows = VectorSchemaRoot.create(schema, allocator)) {
          listener.start(rows);
          for (int i = 0; i < call.size(); i++) {
            String[] row = {call.get(i).id(), "good", "1", "latency_ms=30,queue=0", call.get(i).value()};
            for (int column = 0; column < row.length; column++) {
              ((VarCharVector) rows.getVector(column)).setSafe(i, row[column].getBytes(StandardCharsets.UTF_8));
            }
          }
          rows.setRowCount(call.size());
          listener.putNext();
          listener.completed();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (RuntimeException e) {
        rig.note("a call had ended: " + e);
      }
    }

    private List<Store.Part> read(byte[] call) {
      long nowMs = Rig.nowMs();
      List<Store.Part> read = new ArrayList<>();
      int at = 0;
      while (at < call.length) {
        int end = at;
        while (call[end] != '\n') {
          end++;
        }
        String[] line = new String(call, at, end - at, StandardCharsets.UTF_8).split(" ");
        int length = Integer.parseInt(line[3]);
        at = end + 1 + length;
        read.add(new Store.Part(nowMs, line[0], Integer.parseInt(line[1]), line[2], "", "v" + line[0]));
      }
      return read;
    }

    @Override
    public void doAction(CallContext context, Action action, StreamListener<Result> listener) {
      if (action.getType().equals("probe")) {
        listener.onNext(new Result("latency_ms=30,queue=0".getBytes(StandardCharsets.UTF_8)));
      }
      listener.onCompleted();
    }
  }

  private static String entry(String id, int port, int cell, String state) {
    return Agent.entry(id, port, "abdali-room", cell, state).replace("\"weight\"", "\"protocol\":\"flight\",\"weight\"");
  }

  public static void main(String[] args) throws Exception {
    Rig.main(args, FlightHang::run);
  }

  private static int run(Rig rig) throws Exception {
    String settings =
        Rig.settings(3_000_000, 4_000_000)
            .replace("\"MayProbe\":true", "\"MayProbe\":false")
            .replace("\"StreamsPerConn\":32", "\"StreamsPerConn\":" + CALLS_PER_CONNECTION);
    try (Agent agent = new Agent()) {
      FlightStandIn hanging = new FlightStandIn(rig);
      FlightStandIn other = new FlightStandIn(rig);
      FlightStandIn hangingToo = new FlightStandIn(rig);
      FlightStandIn otherToo = new FlightStandIn(rig);
      agent.put("s-0", entry("s-0", hanging.port(), 0, "ready"));
      agent.put("s-1", entry("s-1", other.port(), 1, "ready"));
      agent.put("s-2", entry("s-2", hangingToo.port(), 0, "ready"));
      agent.put("s-3", entry("s-3", otherToo.port(), 1, "ready"));
      rig.startBroker(settings, agent.port(), null);
      AtomicInteger served = new AtomicInteger();
      AtomicInteger notServed = new AtomicInteger();
      long hangAtMs = Rig.nowMs() + 5000;
      long drainAtMs = hangAtMs + HANG_MS * 2 / 5;
      long endMs = hangAtMs + HANG_MS + 2000;
      boolean hung = false;
      boolean drained = false;
      ExecutorService clients =
          Executors.newCachedThreadPool(
              task -> {
                Thread thread = new Thread(task, "client");
                thread.setDaemon(true);
                return thread;
              });
      for (int i = 0; Rig.nowMs() < endMs; i++) {
        boolean search = i % 2 == 0;
        int shard = i % 8;
        clients.execute(
            () -> {
              String id = rig.nextId();
              try (Rig.Client client = new Rig.Client(rig.listen)) {
                Rig.Answer answer =
                    client.exchange(
                        Rig.query(search ? "free-search" : "slot-booking", id, search ? 3 : 4, shard / 2 * 2), 6000);
                (answer.status() == 200 ? served : notServed).incrementAndGet();
                rig.note("query " + id + " got " + answer.status());
              } catch (Exception e) {
                rig.note("query " + id + " had no answer: " + e);
              }
            });
        Thread.sleep(1000 / QUERIES_PER_S);
        if (!hung && Rig.nowMs() >= hangAtMs) {
          hung = true;
          if (Rig.TROUBLE) {
            hanging.hangUntilMs = hangAtMs + HANG_MS;
            hangingToo.hangUntilMs = hangAtMs + HANG_MS;
            rig.note("s-0 and s-2 hang for " + HANG_MS + " ms");
          }
        }
        if (!drained && Rig.nowMs() >= drainAtMs) {
          drained = true;
          drainAtMs = Rig.nowMs();
          agent.put("s-0", entry("s-0", hanging.port(), 0, "draining"));
          rig.note("discovery tells that s-0 drains");
        }
      }
      int late = 0;
      for (Store.Part part : hanging.parts) {
        if (part.atMs() > drainAtMs + GRACE_MS) {
          late++;
          rig.note("DRAIN: part " + part.id() + " (" + part.list() + ") reached s-0 " + (part.atMs() - drainAtMs)
              + " ms after the broker was told that it drains");
        }
      }
      rig.note("served " + served.get() + ", not served " + notServed.get() + ", parts sent to s-0 "
          + hanging.parts.size() + ", of these late " + late);
      rig.noteParts("s-0", hanging.parts);
      rig.noteParts("s-2", hangingToo.parts);
      clients.shutdownNow();
      return served.get() < 100 ? Rig.NOT_RUN : late > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }
}

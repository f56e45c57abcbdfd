package dunlinhitch.experiments.fakes;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.flight.Action;
import org.apache.arrow.flight.CallStatus;
import org.apache.arrow.flight.FlightDescriptor;
import org.apache.arrow.flight.FlightEndpoint;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightServer;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.NoOpFlightProducer;
import org.apache.arrow.flight.Result;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/** A store that speaks Arrow Flight: a row for each part, each in a batch of its own. */
public final class FlightStore extends Store {
  private static final Schema SCHEMA =
      new Schema(
          List.of("id", "end", "score", "report", "value").stream()
              .map(name -> Field.nullable(name, ArrowType.Utf8.INSTANCE))
              .toList());

  /**
   * Of all stand-ins: one that ended with its server would throw at what is still under way there.
   */
  private static final ExecutorService POOL =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "flight-store");
            thread.setDaemon(true);
            return thread;
          });

  private final BufferAllocator allocator = new RootAllocator(8 << 20);
  private final FlightServer server;

  public FlightStore(String name) throws Exception {
    super(name);
    server =
        FlightServer.builder(allocator, Location.forGrpcInsecure("127.0.0.1", 0), new Producer())
            .executor(POOL)
            .build()
            .start();
  }

  private final class Producer extends NoOpFlightProducer {
    @Override
    public void getStream(CallContext context, Ticket ticket, ServerStreamListener listener) {
      CountDownLatch left = new CountDownLatch(1);
      listener.setOnCancelHandler(left::countDown);
      try (VectorSchemaRoot root = VectorSchemaRoot.create(SCHEMA, allocator)) {
        listener.start(root);
        boolean silent = false;
        if (answerAfterMs > 0) {
          Thread.sleep(answerAfterMs);
        }
        for (Seen part : parts(ticket.getBytes())) {
          Do how = take(part);
          if (how == Do.CUT) {
            listener.error(CallStatus.UNAVAILABLE.withDescription("cut").toRuntimeException());
            return;
          }
          silent |= how == Do.NOTHING;
          Row row = row(part, how);
          for (int copies = how == Do.NOTHING ? 0 : how == Do.TWICE ? 2 : 1; copies > 0; copies--) {
            fill(root, row);
            listener.putNext();
          }
        }
        if (silent && !left.await(10, TimeUnit.SECONDS)) {
          throw new IllegalStateException("the broker never gave up");
        }
        listener.completed();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public FlightInfo getFlightInfo(CallContext context, FlightDescriptor descriptor) {
      Seen part = parts(descriptor.getCommand()).get(0);
      firstSeen.add(part);
      First said = first.apply(part);
      try {
        Thread.sleep(said == null ? 2_000 : firstAfterMs);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      First answer = said == null ? new First(0, "late", "") : said;
      byte[] metadata =
          (answer.version() + " latency_ms=1,queue=0 " + answer.emptyValue())
              .getBytes(StandardCharsets.UTF_8);
      List<FlightEndpoint> where =
          answer.records() == 0
              ? List.of()
              : List.of(new FlightEndpoint(new Ticket(descriptor.getCommand())));
      return FlightInfo.builder(SCHEMA, descriptor, where)
          .setRecords(answer.records())
          .setBytes(-1)
          .setAppMetadata(metadata)
          .build();
    }

    @Override
    public void doAction(CallContext context, Action action, StreamListener<Result> listener) {
      String body = new String(action.getBody(), StandardCharsets.UTF_8);
      if (action.getType().equals("give-up")) {
        givenUp.add(body);
      } else if (mute) {
        return;
      } else {
        checks.add(name);
        probes.add(name);
        listener.onNext(new Result("latency_ms=5,queue=0".getBytes(StandardCharsets.UTF_8)));
      }
      listener.onCompleted();
    }
  }

  private static void fill(VectorSchemaRoot root, Row row) {
    root.clear();
    List<String> words = List.of(row.id(), row.end(), row.score(), row.report());
    for (int i = 0; i < words.size(); i++) {
      ((VarCharVector) root.getVector(i)).setSafe(0, words.get(i).getBytes(StandardCharsets.UTF_8));
    }
    ((VarCharVector) root.getVector(words.size())).setSafe(0, row.value());
    root.setRowCount(1);
  }

  @Override
  public int port() {
    return server.getPort();
  }

  @Override
  public String protocol() {
    return "flight";
  }

  @Override
  public void close() throws Exception {
    server.shutdown();
    server.awaitTermination(2, TimeUnit.SECONDS);
    server.close();
  }
}

package dunlinhitch.experiments.fakes;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.LargeVarCharVector;
import org.apache.arrow.vector.VarBinaryVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/** A fake store with Arrow Flight. The answer to a part is one row in a record batch of its own. */
public final class FlightStore extends Store {
  private static final List<String> COLUMNS = List.of("id", "end", "score", "report", "value");

  /** Columns whose cells are null in every answer. */
  public volatile Set<String> nullColumns = Set.of();

  private volatile Schema schema = schema(COLUMNS, Map.of());

  /**
   * The executor of all fakes. It is never shut down: a pool that is shut down together with one
   * server would reject the calls of this server that are still in flight.
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

  /** Listens on a free loopback port. */
  public FlightStore(String name) throws Exception {
    super(name);
    server =
        FlightServer.builder(allocator, Location.forGrpcInsecure("127.0.0.1", 0), new Producer())
            .executor(POOL)
            .build()
            .start();
  }

  private static Schema schema(List<String> columns, Map<String, ArrowType> types) {
    return new Schema(
        columns.stream()
            .map(name -> Field.nullable(name, types.getOrDefault(name, ArrowType.Utf8.INSTANCE)))
            .toList());
  }

  /** Sets the type of a column in the answers to later calls. */
  public void setColumnType(String column, ArrowType type) {
    schema = schema(COLUMNS, Map.of(column, type));
  }

  /** Leaves a column out of the answers to later calls. */
  public void removeColumn(String column) {
    schema = schema(COLUMNS.stream().filter(name -> !name.equals(column)).toList(), Map.of());
  }

  private final class Producer extends NoOpFlightProducer {
    @Override
    public void getStream(CallContext context, Ticket ticket, ServerStreamListener listener) {
      CountDownLatch cancelled = new CountDownLatch(1);
      listener.setOnCancelHandler(cancelled::countDown);
      try (VectorSchemaRoot root = VectorSchemaRoot.create(schema, allocator)) {
        listener.start(root);
        boolean answerMissing = false;
        if (answerDelayMs > 0) {
          Thread.sleep(answerDelayMs);
        }
        for (ReceivedPart part : parseParts(ticket.getBytes())) {
          Behavior behavior = receive(part);
          if (behavior == Behavior.CUT) {
            listener.error(CallStatus.UNAVAILABLE.withDescription("cut").toRuntimeException());
            return;
          }
          answerMissing |= behavior == Behavior.NOTHING;
          Row row = answerRow(part, behavior);
          for (int copies = copies(behavior); copies > 0; copies--) {
            fill(root, row);
            listener.putNext();
          }
        }
        if (answerMissing && !cancelled.await(10, TimeUnit.SECONDS)) {
          throw new IllegalStateException("the broker did not cancel the call within 10 s");
        }
        listener.completed();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public FlightInfo getFlightInfo(CallContext context, FlightDescriptor descriptor) {
      ReceivedPart part = parseParts(descriptor.getCommand()).get(0);
      firstPasses.add(part);
      FirstAnswer first = firstAnswer.apply(part);
      try {
        Thread.sleep(first == null ? 2_000 : firstAnswerDelayMs);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      FirstAnswer answer = first == null ? new FirstAnswer(0, "late", "") : first;
      byte[] metadata =
          (answer.version() + " latency_ms=1,queue=0 " + answer.emptyValue())
              .getBytes(StandardCharsets.UTF_8);
      List<FlightEndpoint> endpoints =
          answer.records() == 0
              ? List.of()
              : List.of(new FlightEndpoint(new Ticket(descriptor.getCommand())));
      return FlightInfo.builder(schema, descriptor, endpoints)
          .setRecords(answer.records())
          .setBytes(-1)
          .setAppMetadata(metadata)
          .build();
    }

    @Override
    public void doAction(CallContext context, Action action, StreamListener<Result> listener) {
      String body = new String(action.getBody(), StandardCharsets.UTF_8);
      if (action.getType().equals("give-up")) {
        cancelledParts.add(body);
      } else if (unresponsive) {
        return;
      } else {
        livenessChecks.add(name);
        healthChecks.add(name);
        listener.onNext(new Result("latency_ms=5,queue=0".getBytes(StandardCharsets.UTF_8)));
      }
      listener.onCompleted();
    }
  }

  private void fill(VectorSchemaRoot root, Row row) {
    root.clear();
    List<String> fields = List.of(row.id(), row.end(), row.score(), row.report());
    for (int i = 0; i < fields.size(); i++) {
      set(root, COLUMNS.get(i), fields.get(i).getBytes(StandardCharsets.UTF_8));
    }
    set(root, COLUMNS.get(fields.size()), row.value());
    root.setRowCount(1);
  }

  private void set(VectorSchemaRoot root, String column, byte[] bytes) {
    FieldVector vector = root.getVector(column);
    if (vector == null || nullColumns.contains(column)) {
      return;
    }
    if (vector instanceof LargeVarCharVector large) {
      large.setSafe(0, bytes);
    } else if (vector instanceof VarBinaryVector binary) {
      binary.setSafe(0, bytes);
    } else {
      ((VarCharVector) vector).setSafe(0, bytes);
    }
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

package dunlinhitch.frontend.flight;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import dunlinhitch.frontend.Exchanges;
import dunlinhitch.frontend.Frontend;
import dunlinhitch.frontend.MalformedQueryException;
import dunlinhitch.frontend.QueryReader;
import io.grpc.Deadline;
import io.grpc.netty.NettyServerBuilder;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.arrow.flight.Action;
import org.apache.arrow.flight.CallHeaders;
import org.apache.arrow.flight.CallStatus;
import org.apache.arrow.flight.ErrorFlightMetadata;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightServer;
import org.apache.arrow.flight.FlightServerMiddleware;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.NoOpFlightProducer;
import org.apache.arrow.flight.ServerHeaderMiddleware;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * The Arrow Flight front: a query is a DoGet whose ticket holds the body that the HTTP front takes,
 * with class and identity in headers. What it takes goes the way of every other query; only the
 * wording is its own.
 */
public final class FlightFrontend implements Frontend {
  public static final String CLASS = "X-Qos";
  public static final String TOTAL = "total";
  private static final String PRUNED = "pruned";
  public static final String RETRY_AFTER = "retry-after";
  private static final long BUFFER_BYTES = 32L << 20;
  private static final int THREADS = 2;
  private static final int MOST_CALLS = 128;
  private static final FlightServerMiddleware.Key<ServerHeaderMiddleware> HEADERS =
      FlightServerMiddleware.Key.of("headers");
  private final Vertx vertx;
  private final Context context;
  private final Exchanges exchanges;
  private final QueryReader reader;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final BufferAllocator allocator = new RootAllocator(BUFFER_BYTES);
  private final ThreadPoolExecutor pool =
      new ThreadPoolExecutor(THREADS, THREADS, 10, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
  private FlightServer server;

  public FlightFrontend(
      Vertx vertx,
      Context context,
      Exchanges exchanges,
      QueryReader reader,
      Consumer<Event> events,
      LongSupplier clock) {
    this.vertx = vertx;
    this.context = context;
    this.exchanges = exchanges;
    this.reader = reader;
    this.events = events;
    this.clock = clock;
  }

  @Override
  public Future<Integer> listen(String host, int port) {
    Consumer<NettyServerBuilder> bounds =
        builder -> builder.maxConcurrentCallsPerConnection(MOST_CALLS);
    server =
        FlightServer.builder(allocator, Location.forGrpcInsecure(host, port), new Producer())
            .middleware(HEADERS, new ServerHeaderMiddleware.Factory())
            .executor(pool)
            .maxInboundMessageSize(2 * QueryReader.MOST_BYTES)
            .transportHint("grpc.builderConsumer", bounds)
            .build();
    return vertx.executeBlocking(
        () -> {
          int bound = server.start().getPort();
          warmUp(host, bound);
          return bound;
        });
  }

  /**
   * Loads both ends of the wire and the vectors, so that the first query does not wait for them.
   */
  private void warmUp(String host, int bound) throws InterruptedException {
    try (VectorSchemaRoot root = VectorSchemaRoot.create(schema(true, null), allocator)) {
      fill(root, List.of(new QueryResponse.PartValue(0, "")));
    }
    FlightClient self =
        FlightClient.builder(allocator, Location.forGrpcInsecure(host, bound)).build();
    try {
      self.doAction(new Action("warm-up")).forEachRemaining(result -> {});
    } catch (FlightRuntimeException e) {
      // the front has no actions: that it says so is all that was wanted
    } finally {
      self.close();
    }
  }

  /** Takes no new calls and waits, off the loop, for those that are open. */
  @Override
  public Future<Void> close(long dueUs) {
    return vertx.executeBlocking(
        () -> {
          server.shutdown();
          server.awaitTermination(Math.max(0, dueUs - clock.getAsLong()), TimeUnit.MICROSECONDS);
          server.close();
          pool.shutdown();
          pool.awaitTermination(Math.max(0, dueUs - clock.getAsLong()), TimeUnit.MICROSECONDS);
          allocator.close();
          return null;
        });
  }

  /** Calls come on gRPC's threads; nothing here waits. */
  private final class Producer extends NoOpFlightProducer {
    @Override
    public void getStream(CallContext call, Ticket ticket, ServerStreamListener listener) {
      long takenUs = clock.getAsLong();
      Deadline deadline = io.grpc.Context.current().getDeadline();
      CallHeaders headers = call.getMiddleware(HEADERS).headers();
      try {
        QueryRequest ask = read(headers, ticket, takenUs);
        if (deadline != null) { // the earlier of the two binds
          ask = ask.dueBy(takenUs + Math.max(0, deadline.timeRemaining(TimeUnit.MICROSECONDS)));
        }
        open(ask, listener);
      } catch (MalformedQueryException e) {
        context.runOnContext(v -> events.accept(new Event.ConditionCounted(Counter.BAD_REQUESTS)));
        listener.error(
            CallStatus.INVALID_ARGUMENT.withDescription(e.getMessage()).toRuntimeException());
      }
    }

    private QueryRequest read(CallHeaders headers, Ticket ticket, long takenUs)
        throws MalformedQueryException {
      String name = headers.get(CLASS);
      QueryClass kind = name == null ? null : reader.classOf(name);
      if (kind == null) {
        throw new MalformedQueryException(CLASS + " names no class");
      }
      if (ticket.getBytes().length > QueryReader.MOST_BYTES) {
        throw new MalformedQueryException("the ticket is over 64 KiB");
      }
      Iterable<String> customers = headers.getAll(QueryReader.CUSTOMER);
      return reader.read(
          kind,
          headers::get,
          customers == null ? List.of() : customers,
          new String(ticket.getBytes(), StandardCharsets.UTF_8),
          takenUs);
    }
  }

  /** What the loop knows of a call: its exchange, or that its client left before there was one. */
  private static final class Call {
    private long exchange;
    private boolean left;
  }

  private void open(QueryRequest ask, NoOpFlightProducer.ServerStreamListener listener) {
    Call call = new Call();
    listener.setOnCancelHandler(
        () ->
            context.runOnContext(
                v -> {
                  call.left = true;
                  exchanges.left(call.exchange);
                }));
    context.runOnContext(
        v -> {
          if (!call.left) {
            call.exchange =
                exchanges.open(ask, answer -> pool.execute(() -> write(listener, answer)));
          }
        });
  }

  private void write(NoOpFlightProducer.ServerStreamListener listener, QueryResponse answer) {
    if (listener.isCancelled()) {
      return;
    }
    if (answer instanceof QueryResponse.Served served) {
      try (VectorSchemaRoot root =
          VectorSchemaRoot.create(schema(served.whole(), served.pruned()), allocator)) {
        fill(root, served.parts());
        listener.start(root);
        listener.putNext();
        listener.completed();
      } catch (RuntimeException e) { // an answer that can not be written is failed, and says so
        listener.error(
            CallStatus.INTERNAL
                .withDescription("the answer could not be written")
                .toRuntimeException());
      }
    } else if (answer instanceof QueryResponse.Rejected refused) {
      ErrorFlightMetadata metadata = new ErrorFlightMetadata();
      if (refused.retryAfterUs() > 0) {
        metadata.insert(
            RETRY_AFTER, String.format(Locale.ROOT, "%.3f", refused.retryAfterUs() / 1e6));
      }
      listener.error(
          CallStatus.UNAVAILABLE
              .withDescription("refused; trying again is harmless")
              .withMetadata(metadata)
              .toRuntimeException());
    } else {
      listener.error(
          (answer instanceof QueryResponse.DeadlineExceeded
                  ? CallStatus.TIMED_OUT.withDescription("out of time")
                  : CallStatus.INTERNAL.withDescription("failed"))
              .toRuntimeException());
    }
  }

  private static Schema schema(boolean whole, List<Integer> pruned) {
    Map<String, String> words =
        pruned == null
            ? Map.of(TOTAL, Boolean.toString(whole))
            : Map.of(
                TOTAL,
                Boolean.toString(whole),
                PRUNED,
                String.join(",", pruned.stream().map(String::valueOf).toList()));
    return new Schema(
        List.of(
            Field.notNullable("range", new ArrowType.Int(32, true)),
            Field.notNullable("blob", ArrowType.Utf8.INSTANCE)),
        words);
  }

  private static void fill(VectorSchemaRoot root, List<QueryResponse.PartValue> parts) {
    IntVector ranges = (IntVector) root.getVector("range");
    VarCharVector blobs = (VarCharVector) root.getVector("blob");
    for (int i = 0; i < parts.size(); i++) {
      ranges.setSafe(i, parts.get(i).shard());
      blobs.setSafe(i, parts.get(i).value().getBytes(StandardCharsets.UTF_8));
    }
    root.setRowCount(parts.size());
  }
}

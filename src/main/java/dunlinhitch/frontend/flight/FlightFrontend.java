package dunlinhitch.frontend.flight;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.concurrent.Faults;
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
import org.apache.arrow.flight.FlightProducer;
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
 * The Arrow Flight frontend: a query is a DoGet whose ticket contains the same body as over HTTP,
 * with the class and the query's identity in headers.
 *
 * <p>Calls arrive on gRPC's threads and responses are written on the call threads; the exchange of
 * a query is opened and completed on the event loop.
 */
public final class FlightFrontend implements Frontend {
  /** Request header: the class of the query. */
  public static final String CLASS = "X-Qos";

  /** Schema metadata: whether the response is complete. */
  public static final String TOTAL = "total";

  private static final String PRUNED = "pruned";

  /** Error metadata: seconds after which a retry may succeed. */
  public static final String RETRY_AFTER = "retry-after";

  private static final CallStatus FAILED = CallStatus.INTERNAL.withDescription("failed");
  private static final double US_PER_SECOND = 1e6;
  private static final int IDLE_THREAD_SECONDS = 10;
  private static final long BUFFER_BYTES = 32L << 20;
  private static final int THREADS = 2;
  private static final int MAX_CALLS_PER_CONNECTION = 128;
  private static final FlightServerMiddleware.Key<ServerHeaderMiddleware> HEADERS =
      FlightServerMiddleware.Key.of("headers");
  private final Vertx vertx;
  private final Context context;
  private final Exchanges exchanges;
  private final QueryReader reader;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final BufferAllocator allocator = new RootAllocator(BUFFER_BYTES);
  private final ThreadPoolExecutor callThreads =
      new ThreadPoolExecutor(
          THREADS, THREADS, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
  private FlightServer server;

  /**
   * Creates a frontend that does not listen yet.
   *
   * @param context the event loop on which exchanges are opened
   * @param clock microseconds; called from any thread
   */
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
    Consumer<NettyServerBuilder> callLimit =
        builder -> builder.maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION);
    server =
        FlightServer.builder(allocator, Location.forGrpcInsecure(host, port), new Producer())
            .middleware(HEADERS, new ServerHeaderMiddleware.Factory())
            .executor(callThreads)
            .maxInboundMessageSize(2 * QueryReader.MAX_BODY_BYTES)
            .transportHint("grpc.builderConsumer", callLimit)
            .build();
    return vertx.executeBlocking(
        () -> {
          int boundPort = server.start().getPort();
          warmUp(host, boundPort);
          return boundPort;
        });
  }

  /**
   * Loads the classes of both ends of a call, so that the first query is not delayed by class
   * loading.
   */
  private void warmUp(String host, int boundPort) throws InterruptedException {
    try (VectorSchemaRoot root = VectorSchemaRoot.create(schema(true, null), allocator)) {
      fill(root, List.of(new QueryResponse.PartValue(0, "")));
    }
    FlightClient self =
        FlightClient.builder(allocator, Location.forGrpcInsecure(host, boundPort)).build();
    try {
      self.doAction(new Action("warm-up")).forEachRemaining(result -> {});
    } catch (FlightRuntimeException e) {
      // expected: the frontend implements no actions
    } finally {
      self.close();
    }
  }

  /** Accepts no new calls and waits, off the event loop, until the open calls have ended. */
  @Override
  public Future<Void> close(long dueUs) {
    return vertx.executeBlocking(
        () -> {
          server.shutdown();
          server.awaitTermination(Math.max(0, dueUs - clock.getAsLong()), TimeUnit.MICROSECONDS);
          server.close();
          callThreads.shutdown();
          callThreads.awaitTermination(
              Math.max(0, dueUs - clock.getAsLong()), TimeUnit.MICROSECONDS);
          allocator.close();
          return null;
        });
  }

  /** Handles calls on gRPC's threads without blocking. */
  private final class Producer extends NoOpFlightProducer {
    @Override
    public void getStream(CallContext call, Ticket ticket, ServerStreamListener listener) {
      long receivedUs = clock.getAsLong();
      try {
        Deadline deadline = io.grpc.Context.current().getDeadline();
        CallHeaders headers = call.getMiddleware(HEADERS).headers();
        QueryRequest query = read(headers, ticket, receivedUs);
        // The deadline of the gRPC call limits the deadline of the query.
        if (deadline != null) {
          query =
              query.withDeadlineAtMost(
                  receivedUs + Math.max(0, deadline.timeRemaining(TimeUnit.MICROSECONDS)));
        }
        open(query, listener);
      } catch (MalformedQueryException e) {
        context.runOnContext(
            ignored -> events.accept(new Event.ConditionCounted(Counter.BAD_REQUESTS)));
        listener.error(
            CallStatus.INVALID_ARGUMENT.withDescription(e.getMessage()).toRuntimeException());
      } catch (RuntimeException | Error fault) {
        end(listener, fault);
      }
    }

    private QueryRequest read(CallHeaders headers, Ticket ticket, long receivedUs)
        throws MalformedQueryException {
      String name = headers.get(CLASS);
      QueryClass queryClass = name == null ? null : reader.classOf(name);
      if (queryClass == null) {
        throw new MalformedQueryException(CLASS + " names no class");
      }
      if (ticket.getBytes().length > QueryReader.MAX_BODY_BYTES) {
        throw new MalformedQueryException("the ticket is over 64 KiB");
      }
      Iterable<String> customers = headers.getAll(QueryReader.CUSTOMER);
      return reader.read(
          queryClass,
          headers::get,
          customers == null ? List.of() : customers,
          ticket.getBytes(),
          receivedUs);
    }
  }

  /**
   * State of a call: the number of its exchange, 0 until the exchange is opened, and whether the
   * client has disconnected. Used on the event loop only.
   */
  private static final class Call {
    private long exchange;
    private boolean disconnected;
  }

  /** Ends a call whose handler threw, and reports the fault on the event loop. */
  private void end(FlightProducer.ServerStreamListener listener, Throwable fault) {
    try {
      listener.error(FAILED.toRuntimeException());
    } finally {
      Faults.report(task -> context.runOnContext(ignored -> task.run()), fault);
    }
  }

  private void open(QueryRequest query, FlightProducer.ServerStreamListener listener) {
    Call call = new Call();
    listener.setOnCancelHandler(
        () ->
            context.runOnContext(
                ignored -> {
                  call.disconnected = true;
                  exchanges.clientDisconnected(call.exchange);
                }));
    context.runOnContext(
        ignored -> {
          if (call.disconnected) {
            return;
          }
          try {
            call.exchange =
                exchanges.open(
                    query, response -> callThreads.execute(() -> write(listener, response)));
          } catch (RuntimeException | Error fault) {
            end(listener, fault);
          }
        });
  }

  private void write(FlightProducer.ServerStreamListener listener, QueryResponse response) {
    try {
      if (!listener.isCancelled()) {
        writeResponse(listener, response);
      }
    } catch (RuntimeException | Error fault) {
      end(listener, fault);
    }
  }

  private void writeResponse(FlightProducer.ServerStreamListener listener, QueryResponse response) {
    if (response instanceof QueryResponse.Served served) {
      writeServed(listener, served);
    } else if (response instanceof QueryResponse.Rejected rejected) {
      listener.error(rejection(rejected));
    } else if (response instanceof QueryResponse.DeadlineExceeded) {
      listener.error(CallStatus.TIMED_OUT.withDescription("out of time").toRuntimeException());
    } else {
      listener.error(FAILED.toRuntimeException());
    }
  }

  private void writeServed(
      FlightProducer.ServerStreamListener listener, QueryResponse.Served served) {
    try (VectorSchemaRoot root =
        VectorSchemaRoot.create(schema(served.complete(), served.pruned()), allocator)) {
      fill(root, served.parts());
      listener.start(root);
      listener.putNext();
      listener.completed();
    }
  }

  private static FlightRuntimeException rejection(QueryResponse.Rejected rejected) {
    ErrorFlightMetadata metadata = new ErrorFlightMetadata();
    if (rejected.retryAfterUs() > 0) {
      metadata.insert(
          RETRY_AFTER, String.format(Locale.ROOT, "%.3f", rejected.retryAfterUs() / US_PER_SECOND));
    }
    return CallStatus.UNAVAILABLE
        .withDescription("refused; trying again is harmless")
        .withMetadata(metadata)
        .toRuntimeException();
  }

  private static Schema schema(boolean complete, List<Integer> pruned) {
    Map<String, String> metadata =
        pruned == null
            ? Map.of(TOTAL, Boolean.toString(complete))
            : Map.of(
                TOTAL,
                Boolean.toString(complete),
                PRUNED,
                String.join(",", pruned.stream().map(String::valueOf).toList()));
    return new Schema(
        List.of(
            Field.notNullable("range", new ArrowType.Int(32, true)),
            Field.notNullable("blob", ArrowType.Utf8.INSTANCE)),
        metadata);
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

package dunlinhitch.backend.flight;

import dunlinhitch.backend.BackendTransport;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.endpoints.Endpoint;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.arrow.flight.Action;
import org.apache.arrow.flight.CallOption;
import org.apache.arrow.flight.CallOptions;
import org.apache.arrow.flight.CallStatus;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightGrpcUtils;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.Result;

/**
 * The way to a store that speaks Arrow Flight: a DoGet for each call, on one channel. No call is
 * made before the channel is up, so that what waited for it is proved not to have run; what is out
 * when it breaks may have.
 */
public final class FlightTransport implements BackendTransport {
  public static final String PROBE = "probe";
  public static final String GIVE_UP = "give-up";
  private final FlightStores shared;
  private final ManagedChannel channel;
  private final FlightClient client;
  private final Map<Long, FlightCall> out = new HashMap<>();

  /** First passes that are waited for. */
  private final Map<Long, FlightFirst> firsts = new HashMap<>();

  private final List<List<AttemptRequest>> waiting = new ArrayList<>();
  private volatile ServerState state = ServerState.READY;
  private long connectRound;

  /** When the store last said anything of a part. */
  private long heardUs;

  private boolean watched;
  private boolean closed;

  /** Read by the threads that make the calls, just before. */
  private volatile boolean barred;

  FlightTransport(FlightStores shared, Endpoint entry) {
    this.shared = shared;
    NettyChannelBuilder builder =
        NettyChannelBuilder.forAddress(new InetSocketAddress(entry.host(), entry.port()))
            .usePlaintext()
            .maxInboundMessageSize(FlightStores.MOST_MESSAGE_BYTES)
            .executor(shared.callbacks())
            .disableRetry();
    if (shared.limits().connectionIdleUs() > 0) {
      builder.idleTimeout(
          (long) (FlightStores.IDLE_SHARE * shared.limits().connectionIdleUs()),
          TimeUnit.MICROSECONDS);
    }
    channel = builder.build();
    client = FlightGrpcUtils.createFlightClientWithSharedChannel(shared.allocator(), channel);
  }

  @Override
  public void call(List<AttemptRequest> parts) {
    boolean up = channel.getState(false) == ConnectivityState.READY;
    boolean mayNot =
        closed
            || barred
            || state == ServerState.GONE
            || state == ServerState.WITHDRAWN
            || (state == ServerState.DRAINING && !up)
            || out.size() + firsts.size() + parts.size() > FlightStores.MOST_OUT;
    if (mayNot) {
      parts.forEach(p -> over(p.attempt(), AttemptOutcome.CONNECT_FAILED));
    } else if (up) {
      begin(parts);
    } else {
      waiting.add(new ArrayList<>(parts));
      if (waiting.size() == 1) {
        connect();
      }
    }
  }

  /** Brings the channel up for what waits; if it is not up in time, nothing that waited has run. */
  private void connect() {
    long round = ++connectRound;
    shared.events().accept(new Event.ConditionCounted(Counter.CONNECTIONS_OPENED));
    channel.resetConnectBackoff();
    long now = shared.nowUs();
    shared
        .vertx()
        .setTimer(
            MicroClock.timerMs(now, now + shared.limits().connectTimeoutUs()),
            t -> {
              if (round == connectRound) {
                dropWaiting();
              }
            });
    follow(round, channel.getState(true), true);
  }

  private void follow(long round, ConnectivityState seen, boolean first) {
    if (round != connectRound || waiting.isEmpty()) {
      return;
    }
    if (seen == ConnectivityState.READY) {
      List<List<AttemptRequest>> calls = List.copyOf(waiting);
      waiting.clear();
      calls.forEach(this::begin);
    } else if (seen == ConnectivityState.SHUTDOWN
        || (seen == ConnectivityState.TRANSIENT_FAILURE && !first)) {
      dropWaiting();
    } else {
      channel.notifyWhenStateChanged(
          seen, () -> shared.onLoop(() -> follow(round, channel.getState(true), false)));
    }
  }

  private void begin(List<AttemptRequest> parts) {
    if (parts.get(0).first()) {
      parts.forEach(this::beginFirst);
      return;
    }
    FlightCall call = new FlightCall(shared, client, parts, this::mayNot, this::over);
    parts.forEach(p -> out.put(p.attempt(), call));
    watch();
    try {
      shared.readers().execute(call);
    } catch (
        RejectedExecutionException e) { // as many streams as may be read at once: it never left
      parts.forEach(p -> over(p.attempt(), AttemptOutcome.CONNECT_FAILED));
    }
  }

  /**
   * Asked by the threads that make the calls, just before: a channel that is down again would keep
   * a call until it is up.
   */
  private boolean mayNot() {
    return barred
        || state == ServerState.WITHDRAWN
        || state == ServerState.GONE
        || channel.getState(false) != ConnectivityState.READY;
  }

  /** The word whether there is anything. */
  private void beginFirst(AttemptRequest part) {
    FlightFirst first =
        new FlightFirst(
            shared,
            client,
            part,
            this::mayNot,
            end -> {
              if (firsts.containsKey(end.attempt())) {
                over(end);
              }
            },
            came -> {
              if (firsts.remove(came.attempt()) != null) { // else it was given up
                heardUs = shared.nowUs();
                shared.events().accept(came);
                leaveWhenIdle();
              }
            });
    firsts.put(part.attempt(), first);
    try {
      shared.readers().execute(first);
    } catch (RejectedExecutionException e) {
      over(part.attempt(), AttemptOutcome.CONNECT_FAILED);
    }
  }

  private void over(long attempt, AttemptOutcome outcome) {
    over(Event.AttemptCompleted.of(attempt, outcome));
  }

  private void over(Event.AttemptCompleted end) {
    out.remove(end.attempt());
    firsts.remove(end.attempt());
    if (end.outcome() == AttemptOutcome.OK
        || end.outcome() == AttemptOutcome.ERROR
        || end.outcome() == AttemptOutcome.FULL) {
      heardUs = shared.nowUs();
    }
    shared.events().accept(end);
    leaveWhenIdle();
  }

  @Override
  public boolean giveUp(long attempt) {
    for (List<AttemptRequest> parts : waiting) {
      if (parts.removeIf(p -> p.attempt() == attempt)) {
        waiting.removeIf(List::isEmpty);
        return true;
      }
    }
    FlightFirst first = firsts.remove(attempt);
    if (first != null) {
      first.stop();
      leaveWhenIdle();
      return true; // it ends by its own deadline; a read costs little
    }
    FlightCall call = out.remove(attempt);
    if (call == null) {
      return false;
    }
    act(GIVE_UP, call.giveUp(attempt), actDueUs(), text -> {});
    if (heardUs <= call.sentUs() && shared.nowUs() - call.sentUs() > FlightStores.SILENT_US) {
      channel
          .enterIdle(); // as on frames: what is new goes over a fresh connection, which fails soon
      // or comes up
    }
    leaveWhenIdle();
    return true;
  }

  @Override
  public void withdraw(long attempt) {
    for (List<AttemptRequest> parts : waiting) {
      if (parts.removeIf(p -> p.attempt() == attempt)) {
        waiting.removeIf(List::isEmpty);
        over(attempt, AttemptOutcome.MOOT);
        return;
      }
    }
    if (out.containsKey(attempt)) {
      out.get(attempt).stop(attempt);
    } else if (firsts.containsKey(attempt)) {
      firsts.get(attempt).stop();
    }
  }

  @Override
  public void probe(long probe) {
    act(
        PROBE,
        "",
        actDueUs(),
        text -> {
          boolean failed = text == null;
          boolean bad = !failed && text.equals("bad");
          shared
              .events()
              .accept(
                  new Event.HealthCheckCompleted(
                      probe,
                      failed
                          ? AttemptOutcome.CONNECT_FAILED
                          : bad ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                      failed || bad ? new float[0] : shared.reports().read(text)));
        });
  }

  private long actDueUs() {
    return shared.nowUs() + shared.limits().connectTimeoutUs();
  }

  /**
   * As on frames: a channel that is quiet is asked, and what is out there is lost if it says
   * nothing.
   */
  private void watch() {
    if (watched
        || closed
        || out.isEmpty()
        || barred
        || state != ServerState.READY
        || !shared.limits().mayHealthCheck()) {
      return;
    }
    long quietUs = shared.limits().connectTimeoutUs() / FlightStores.QUIET_PART;
    long sinceUs =
        Math.max(heardUs, out.values().stream().mapToLong(FlightCall::sentUs).min().orElseThrow());
    long askedUs = shared.nowUs();
    watched = true;
    if (askedUs < sinceUs + quietUs) {
      shared
          .vertx()
          .setTimer(
              MicroClock.timerMs(askedUs, sinceUs + quietUs),
              t -> {
                watched = false;
                watch();
              });
      return;
    }
    shared.events().accept(new Event.ConditionCounted(Counter.CONNECTIONS_CHECKED));
    act(
        PROBE,
        "",
        askedUs + shared.limits().connectTimeoutUs() / FlightStores.ANSWER_PART,
        text -> {
          watched = false;
          if (text != null) {
            heardUs = shared.nowUs();
          } else if (heardUs < askedUs && !closed && !barred) {
            shared.events().accept(new Event.ConditionCounted(Counter.CONNECTIONS_SILENT));
            channel.enterIdle(); // what is new goes over a fresh connection
            Set.copyOf(out.values()).forEach(FlightCall::lost);
          }
          watch();
        });
  }

  /**
   * One action, off the loop; {@code done} gets its first result back on it, or null where it
   * failed.
   */
  private void act(String type, String body, long dueUs, Consumer<String> done) {
    try {
      shared
          .actions()
          .execute(
              () -> {
                String text = null;
                try {
                  if (barred && type.equals(PROBE)) {
                    throw CallStatus.CANCELLED.toRuntimeException();
                  }
                  Iterator<Result> results =
                      client.doAction(
                          new Action(type, body.getBytes(StandardCharsets.UTF_8)),
                          until(dueUs, shared.nowUs()));
                  while (results.hasNext()) {
                    byte[] bytes = results.next().getBody();
                    text = text == null ? new String(bytes, StandardCharsets.UTF_8) : text;
                  }
                  text = text == null ? "" : text;
                } catch (FlightRuntimeException e) {
                  text = null; // the store can not be reached, or knows no such action
                }
                String said = text;
                shared.onLoop(() -> done.accept(said));
              });
    } catch (RejectedExecutionException e) {
      done.accept(null);
    }
  }

  /** Where a deadline leaves for gRPC it becomes the time left. */
  static CallOption until(long dueUs, long nowUs) {
    return CallOptions.timeout(Math.max(1, dueUs - nowUs), TimeUnit.MICROSECONDS);
  }

  @Override
  public void release() {
    if (idle()) {
      channel.enterIdle();
    }
  }

  @Override
  public void state(ServerState told) {
    state = told;
    if (told != ServerState.READY) {
      dropWaiting();
    }
    leaveWhenIdle();
  }

  @Override
  public void barred(boolean out) {
    barred = out;
    if (out) {
      dropWaiting();
    }
  }

  private void dropWaiting() {
    List<List<AttemptRequest>> calls = List.copyOf(waiting);
    waiting.clear();
    calls.forEach(parts -> parts.forEach(p -> over(p.attempt(), AttemptOutcome.CONNECT_FAILED)));
  }

  private void leaveWhenIdle() {
    if (state == ServerState.GONE && idle()) {
      close();
    }
  }

  @Override
  public boolean idle() {
    return out.isEmpty() && firsts.isEmpty() && waiting.isEmpty();
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      dropWaiting();
      channel.shutdownNow(); // ends what is out as a reset
      shared.closeLater(client);
    }
  }
}

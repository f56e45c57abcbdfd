package dunlinhitch.backend.frames;

import dunlinhitch.backend.RequestText;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * One connection to a store and what is out on it. Replies name a part, not an attempt: a part that
 * was given up here and might still be answered is not sent here again, so that each reply belongs
 * to one attempt.
 *
 * <p>One call at a time is on its way into the socket: what waits behind it, as what waits for the
 * connection to come up, can still be taken back, and is looked at again when its bytes are
 * written.
 */
final class FrameConnection {
  private static final int MOST_ABANDONED = 256;

  /** Replies whose second copy is known as such. */
  private static final int MOST_ANSWERED = 64;

  /** A frame that has begun is whole so soon after: it holds up all that is behind it. */
  private static final long FRAME_US = 400_000;

  private static final int WRITE_QUEUE_BYTES = 512 * 1024;

  /** A wait of so long without a word is more than a busy store's. */
  private static final long SILENT_US = 1_000_000;

  /**
   * One that was quiet and is asked answers within this part of the time in which a connection
   * comes up.
   */
  private static final int ANSWER_PART = 2;

  /** A part that is out; {@code write} is done once its frame's last byte has left. */
  private record Out(long attempt, String partId, long sentUs, Future<Void> write, boolean first) {
    boolean neverLeft() {
      return !write.succeeded();
    }
  }

  private final FrameTransport.Shared shared;

  /** False where the store is to get nothing new, not even a check. */
  private final BooleanSupplier mayCheck;

  private final Consumer<FrameConnection> onClosed;

  /** Called once, when the descriptor is free again. */
  private final Runnable released;

  private final Map<String, Out> out = new LinkedHashMap<>();
  private final Set<String> abandoned = new LinkedHashSet<>();
  private final Set<String> answered = new LinkedHashSet<>();
  private final List<List<AttemptRequest>> waiting = new ArrayList<>();
  private final List<Long> waitingProbes = new ArrayList<>();
  private final Deque<Long> probes = new ArrayDeque<>();
  private final Frames frames = new Frames();
  private NetSocket socket;

  /** Done once the call that was written last has left whole. */
  private Future<Void> lastCall = Future.succeededFuture();

  /** Checks that are not the decisions' own come back with this. */
  private static final long CHECK = -1;

  private boolean watched;
  private boolean closed;
  private boolean leaving;
  private boolean silent;

  /**
   * Counts the frames that were within when a read ended; that one is waited for until its time.
   */
  private long frameRound;

  private long awaitedRound = -1;
  private boolean within;
  private long usedUs;
  private long heardUs;

  FrameConnection(
      FrameTransport.Shared shared,
      BooleanSupplier mayCheck,
      Consumer<FrameConnection> onClosed,
      Runnable released) {
    this.mayCheck = mayCheck;
    this.shared = shared;
    this.onClosed = onClosed;
    this.released = released;
    usedUs = now();
    heardUs = usedUs;
  }

  private long now() {
    return shared.clock.getAsLong();
  }

  void connect(String host, int port) {
    shared
        .connect(host, port)
        .onComplete(
            made -> {
              if (made.failed()) {
                released.run();
                closed();
                return;
              }
              channel(made.result()).channel().closeFuture().addListener(f -> released.run());
              if (closed) {
                channel(made.result()).close();
              } else {
                opened(made.result());
              }
            });
  }

  /**
   * Where what it is asked passes Vert.x's own handler by, which would put a close behind all that
   * is to be written.
   */
  private static ChannelHandlerContext channel(NetSocket socket) {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }

  private void opened(NetSocket made) {
    socket = made;
    heardUs = now();
    made.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
    made.handler(this::read);
    made.exceptionHandler(e -> {}); // the close that follows says all there is to say
    made.closeHandler(v -> closed());
    writeNext();
    List<Long> checks = List.copyOf(waitingProbes);
    waitingProbes.clear();
    checks.forEach(this::probe);
    leaveWhenIdle();
  }

  boolean isOpen() {
    return socket != null && !closed;
  }

  boolean isIdle() {
    return out.isEmpty() && waiting.isEmpty() && probes.isEmpty() && waitingProbes.isEmpty();
  }

  /** True while a frame of a part has not left whole. */
  boolean isWriting() {
    return !lastCall.isComplete();
  }

  /** True where so many more parts may go; closes a connection that the store is about to close. */
  boolean takes(int parts, Set<String> ids) {
    if (isIdle() && now() - usedUs >= shared.idleAfterUs()) {
      close();
    }
    int waitingParts = waiting.stream().mapToInt(List::size).sum();
    return !closed
        && !leaving
        && !silent
        && out.size() + waitingParts + parts <= shared.limits().streamsPerConnection()
        && (socket == null || !socket.writeQueueFull())
        && ids.stream().noneMatch(id -> abandoned.contains(id) || out.containsKey(id));
  }

  /**
   * Where no descriptor is left a connection may have failed before it is called first: nothing
   * would look at what waits for it.
   */
  void call(List<AttemptRequest> parts) {
    usedUs = now();
    waiting.add(new ArrayList<>(parts));
    if (closed) {
      dropWaiting();
    } else if (socket != null) {
      writeNext();
    }
  }

  /**
   * What has waited may not leave any more: its time is over, or that in which it may be repeated.
   */
  private void writeNext() {
    while (!closed && !waiting.isEmpty() && !isWriting()) {
      long now = now();
      List<AttemptRequest> call = waiting.remove(0);
      List<AttemptRequest> parts = call.stream().filter(p -> p.mayLeave(now)).toList();
      call.stream()
          .filter(p -> !p.mayLeave(now))
          .forEach(p -> over(p.attempt(), AttemptOutcome.CONNECT_FAILED));
      if (!parts.isEmpty()) {
        write(parts, now);
      }
    }
    leaveWhenIdle();
  }

  private void write(List<AttemptRequest> parts, long now) {
    usedUs = now;
    Future<Void> write =
        socket.write(Frames.frame(parts.get(0).first() ? 's' : 'm', RequestText.of(parts, now)));
    lastCall = write;
    parts.forEach(
        p -> out.put(p.partId(), new Out(p.attempt(), p.partId(), now, write, p.first())));
    boolean atOnce = write.isComplete();
    write.onSuccess(
        v -> {
          shared.events.accept(new Event.AttemptsWritten(parts.size()));
          if (!atOnce) {
            writeNext();
          }
        });
    watch();
  }

  /**
   * Guards against a connection that stays open while nothing crosses it any more: a store with
   * much to do is as quiet, but answers a check beside its queue.
   */
  private void watch() {
    if (watched || closed || out.isEmpty() || !mayCheck.getAsBoolean()) {
      return;
    }
    long dueUs =
        Math.max(heardUs, out.values().iterator().next().sentUs())
            + shared.quiet.longestUs(shared.limits().connectTimeoutUs());
    if (now() >= dueUs) {
      check();
      return;
    }
    watched = true;
    at(
        dueUs,
        () -> {
          watched = false;
          watch();
        });
  }

  private void check() {
    watched = true;
    long askedUs = now();
    shared.events.accept(new Event.ConditionCounted(Counter.CONNECTIONS_CHECKED));
    probes.add(CHECK);
    socket.write(Frames.frame('o', ""));
    at(
        askedUs + shared.limits().connectTimeoutUs() / ANSWER_PART,
        () ->
            at(
                now(),
                () -> { // what came meanwhile is read first
                  watched = false;
                  if (heardUs >= askedUs) {
                    watch();
                    return;
                  }
                  if (closed) {
                    return;
                  }
                  shared.events.accept(new Event.ConditionCounted(Counter.CONNECTIONS_SILENT));
                  close();
                }));
  }

  private void at(long dueUs, Runnable task) {
    shared.vertx.setTimer(MicroClock.timerMs(now(), dueUs), t -> task.run());
  }

  void probe(long id) {
    usedUs = now();
    if (closed) {
      shared.events.accept(
          new Event.HealthCheckCompleted(id, AttemptOutcome.CONNECT_FAILED, new float[0]));
      return;
    }
    if (socket == null) {
      waitingProbes.add(id);
      return;
    }
    probes.add(id);
    socket.write(Frames.frame('p', ""));
  }

  private boolean takeBack(long attempt) {
    boolean waited =
        waiting.stream().anyMatch(parts -> parts.removeIf(p -> p.attempt() == attempt));
    waiting.removeIf(List::isEmpty);
    leaveWhenIdle();
    return waited;
  }

  private Out outFor(long attempt) {
    return out.values().stream().filter(o -> o.attempt() == attempt).findFirst().orElse(null);
  }

  /** The attempt ends if its call has not left whole; what the store has of it stands. */
  void withdraw(long attempt) {
    if (takeBack(attempt)) {
      over(attempt, AttemptOutcome.MOOT);
      return;
    }
    Out taken = outFor(attempt);
    if (taken != null && taken.neverLeft()) {
      close();
    }
  }

  /** False where the attempt is not here. */
  boolean giveUp(long attempt) {
    if (takeBack(attempt)) {
      return true;
    }
    Out given = outFor(attempt);
    if (given == null) {
      return false;
    }
    out.remove(given.partId());
    if (given.neverLeft()) { // behind it a word that it is given up would come after what it is to
      // prevent
      close();
      return true;
    }
    remember(abandoned, given.partId(), MOST_ABANDONED);
    socket.write(Frames.frame('n', given.partId()));
    // a machine that vanished leaves its connections open and silent: what is new goes over a fresh
    // one,
    // which fails soon and proves that nothing ran, or comes up
    silent |= heardUs <= given.sentUs() && now() - given.sentUs() > SILENT_US;
    if (silent || leaving) {
      closeWhenIdle();
    }
    return true;
  }

  /** The oldest goes: it is of a query that is long over. */
  private static void remember(Set<String> ids, String id, int most) {
    ids.add(id);
    if (ids.size() > most) {
      Iterator<String> oldest = ids.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Ends what has not left: the store is to get nothing new. */
  void dropWaiting() {
    List<List<AttemptRequest>> calls = List.copyOf(waiting);
    waiting.clear();
    calls.forEach(parts -> parts.forEach(p -> over(p.attempt(), AttemptOutcome.CONNECT_FAILED)));
  }

  private void leaveWhenIdle() {
    if (leaving) {
      closeWhenIdle();
    }
  }

  /** Takes nothing more and goes when nothing is out. */
  void closeWhenIdle() {
    leaving = true;
    if (isIdle()) {
      close();
    }
  }

  /**
   * At once, whatever is still to be written: a call that has not left whole is reported as one
   * that never ran, and an orderly close would first write it. What it drops beside calls says no
   * more than the close itself: that nobody waits.
   */
  void close() {
    if (socket != null) {
      channel(socket).close();
    }
    closed();
  }

  private void closed() {
    if (closed) {
      return;
    }
    closed = true;
    onClosed.accept(this);
    dropWaiting();
    List<Out> lost = List.copyOf(out.values());
    out.clear();
    lost.forEach(
        o ->
            over(
                o.attempt(), o.neverLeft() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET));
    AttemptOutcome outcome = socket == null ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.RESET;
    probes.addAll(waitingProbes);
    waitingProbes.clear();
    probes.removeIf(id -> id == CHECK);
    probes.forEach(
        id -> shared.events.accept(new Event.HealthCheckCompleted(id, outcome, new float[0])));
    probes.clear();
  }

  private void over(long attempt, AttemptOutcome outcome) {
    shared.events.accept(Event.AttemptCompleted.of(attempt, outcome));
  }

  /**
   * What is no frame ends the connection: nothing after it can be trusted, what came whole before
   * it can.
   */
  private void read(Buffer bytes) {
    if (closed) {
      return;
    }
    heardUs = now();
    usedUs = heardUs;
    silent = false;
    try {
      frames.read(
          bytes,
          frame -> {
            frameRound++;
            take(frame);
          });
      awaitFrame();
    } catch (Frames.MalformedException e) {
      spoilt();
    }
    leaveWhenIdle();
  }

  private void spoilt() {
    shared.events.accept(new Event.ConditionCounted(Counter.BAD_FRAMES));
    close();
  }

  /** A line or value that never ends would keep what is out here until its time is over. */
  private void awaitFrame() {
    if (!frames.within()) {
      within = false;
      return;
    }
    if (within && frameRound == awaitedRound) {
      return;
    }
    within = true;
    awaitedRound = frameRound;
    long mine = frameRound;
    shared.vertx.setTimer(
        MicroClock.timerMs(heardUs, heardUs + FRAME_US),
        t -> {
          if (!closed && within && frameRound == mine) {
            spoilt();
          }
        });
  }

  private static AttemptOutcome outcome(String end) throws Frames.MalformedException {
    AttemptOutcome outcome = RequestText.end(end);
    if (outcome == null) {
      throw new Frames.MalformedException("an end of the name " + end);
    }
    return outcome;
  }

  /** The part that this reply ends, or null where nobody waits for it any more. */
  private Out answered(String id, boolean first) throws Frames.MalformedException {
    Out ended = out.get(id);
    if (ended != null && ended.first() != first) {
      throw new Frames.MalformedException("a reply of the other phase");
    }
    out.remove(id);
    if (ended != null) {
      shared.quiet.replied(heardUs - ended.sentUs());
    }
    if (ended != null
        || abandoned.remove(id)) { // one that was given up has its one reply behind it now
      remember(answered, id, MOST_ANSWERED);
    } else if (!answered.contains(
        id)) { // a second copy is only too much; this is somebody's lost reply
      throw new Frames.MalformedException("a reply that nobody waits for");
    }
    return ended;
  }

  private void take(Frames.Frame frame) throws Frames.MalformedException {
    switch (frame.letter()) {
      case 'q' -> {
        Frames.PartReply reply = Frames.partReply(frame.rest());
        AttemptOutcome outcome = outcome(reply.end());
        Out ended = answered(reply.id(), false);
        if (ended != null) {
          shared.events.accept(
              new Event.AttemptCompleted(
                  ended.attempt(),
                  outcome,
                  shared.reports.read(reply.report()),
                  reply.value(),
                  reply.score()));
        }
      }
      case 't' -> {
        Frames.FirstReply reply = Frames.firstReply(frame.rest());
        AttemptOutcome outcome = outcome(reply.end());
        Out ended = answered(reply.id(), true);
        if (ended != null) {
          float[] report = shared.reports.read(reply.report());
          shared.events.accept(
              outcome != AttemptOutcome.OK
                  ? new Event.AttemptCompleted(ended.attempt(), outcome, report, "")
                  : new Event.FirstPassCompleted(
                      ended.attempt(),
                      heardUs,
                      report,
                      reply.records(),
                      reply.version(),
                      reply.emptyValue()));
        }
      }
      case 'o', 'p' -> {
        Long id = probes.poll();
        if (id != null && id != CHECK) {
          String text = frame.rest().toString();
          boolean bad = text.equals("bad");
          shared.events.accept(
              new Event.HealthCheckCompleted(
                  id,
                  bad ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                  bad ? new float[0] : shared.reports.read(text)));
        }
      }
      case 'r' ->
          throw new Frames.MalformedException("the store could not use a frame: " + frame.rest());
      default -> throw new Frames.MalformedException("a frame of letter " + (int) frame.letter());
    }
  }
}

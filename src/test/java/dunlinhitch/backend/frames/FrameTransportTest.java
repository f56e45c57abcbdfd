package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import dunlinhitch.backend.LoadReportParser;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Stage;
import dunlinhitch.experiments.fakes.Store.Do;
import dunlinhitch.server.OwnTransport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import java.io.DataInputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The way to one store against a scripted peer. */
class FrameTransportTest {
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final BlockingQueue<Event.AttemptCompleted> ends = new LinkedBlockingQueue<>();
  private final MicroClock real = new MicroClock();

  /** How far a test has put the clock on. */
  private volatile long aheadUs;

  private final LongSupplier clock = () -> real.getAsLong() + aheadUs;
  private FrameStore store;
  private FrameTransport transport;

  @BeforeEach
  void begin() throws Exception {
    store = new FrameStore(vertx, "s");
    transport = to(store.port());
  }

  @AfterEach
  void end() throws Exception {
    store.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  private FrameTransport to(int port) {
    return to(port, 3, Stage.settings(100).limits());
  }

  /** Without checks of its own, which depend on the time that things take. */
  private FrameTransport unasked(int port, int mostConnections) {
    Limits l = Stage.settings(100).limits();
    return to(
        port,
        mostConnections,
        new Limits(
            l.maxAttempts(),
            l.maxInFlight(),
            l.mayCancel(),
            false,
            l.parallelAttempts(),
            l.retryAfter(),
            l.maxRetryAfterUs(),
            l.connectTimeoutUs(),
            l.streamsPerConnection(),
            l.connectionIdleUs()));
  }

  private FrameTransport to(int port, int mostConnections, Limits limits) {
    return new FrameTransport(shared(vertx, mostConnections, limits), entry(port));
  }

  private FrameTransport.Shared shared(Vertx on, int mostConnections, Limits limits) {
    return new FrameTransport.Shared(
        on,
        () -> limits,
        () -> mostConnections,
        new LoadReportParser(() -> Stage.settings(100).reportFields()),
        clock,
        event -> {
          if (event instanceof Event.AttemptCompleted over) {
            ends.add(over);
          }
        });
  }

  private static Endpoint entry(int port) {
    return new Endpoint(
        "s", "127.0.0.1", port, 0, 0, ServerState.READY, 1, 0, Endpoint.Protocol.FRAMES);
  }

  private void onLoop(Runnable task) {
    vertx.runOnContext(v -> task.run());
  }

  /** Its time is longer than any machine needs for what a test does. */
  private AttemptRequest part(long attempt, int shard) {
    return new AttemptRequest(
        attempt, "q." + shard, shard, "", clock.getAsLong() + 60_000_000, "text");
  }

  private Event.AttemptCompleted next() throws InterruptedException {
    Event.AttemptCompleted over = ends.poll(5, TimeUnit.SECONDS);
    assertTrue(over != null, "no end came");
    return over;
  }

  @Test
  void repliesCarryTheReportAndOneConnectionCarriesManyParts() throws Exception {
    onLoop(
        () -> {
          transport.call(List.of(part(1, 0), part(2, 1)));
          transport.call(List.of(part(3, 2)));
        });
    for (long attempt = 1; attempt <= 3; attempt++) {
      Event.AttemptCompleted over = next();
      assertEquals(attempt, over.attempt());
      assertEquals(AttemptOutcome.OK, over.outcome());
      assertEquals(5, over.report()[0]);
    }
    assertEquals(1, store.sockets.size());
  }

  /**
   * A store that is busy answers a check beside its queue, so its parts stay out; one from which
   * nothing comes back any more has its connection closed, and what is new goes over another.
   */
  @Test
  void aQuietConnectionIsAskedAndClosedOnlyIfItSaysNothing() throws Exception {
    store.script = part -> part.shard() == 0 ? Do.NOTHING : Do.GOOD;
    onLoop(() -> transport.call(List.of(part(1, 0))));
    for (int i = 0; i < 3; i++) {
      assertTrue(store.checks.poll(5, TimeUnit.SECONDS) != null);
    }
    assertEquals(0, ends.size());
    store.mute = true;
    Event.AttemptCompleted lost = next();
    assertEquals(1, lost.attempt());
    assertEquals(AttemptOutcome.RESET, lost.outcome());
    store.mute = false;
    onLoop(() -> transport.call(List.of(part(2, 1))));
    assertEquals(AttemptOutcome.OK, next().outcome());
    assertEquals(2, store.sockets.size());
  }

  /**
   * A store that is out by hand or drains gets nothing new, not even a check; what waits for a
   * connection is dropped.
   */
  @Test
  void aBarredStoreGetsNothingNew() throws Exception {
    store.script = part -> Do.NOTHING;
    onLoop(() -> transport.call(List.of(part(1, 0))));
    assertTrue(store.seen.poll(5, TimeUnit.SECONDS) != null);
    onLoop(
        () -> {
          transport.barred(true);
          transport.call(List.of(part(2, 1)));
          transport.probe(1);
        });
    Event.AttemptCompleted barred = next();
    assertEquals(2, barred.attempt());
    assertEquals(AttemptOutcome.CONNECT_FAILED, barred.outcome());
    int checks = store.checks.size();
    onLoop(
        () -> {
          transport.barred(false);
          transport.call(List.of(part(3, 2)));
        });
    assertTrue(store.seen.poll(5, TimeUnit.SECONDS) != null);
    assertTrue(checks <= 1 && store.probes.isEmpty() && store.seen.isEmpty(), "checks " + checks);
  }

  /** What can not be read ends the connection: all that is out on it may have run. */
  @Test
  void aMalformedFrameIsAReset() throws Exception {
    store.script = part -> Do.NOTHING;
    onLoop(() -> transport.call(List.of(part(1, 0), part(2, 1))));
    store.seen.poll(5, TimeUnit.SECONDS);
    store.sockets.get(0).write(Buffer.buffer(new byte[] {-1, -1, -1, 127, 'q'}));
    assertEquals(AttemptOutcome.RESET, next().outcome());
    assertEquals(AttemptOutcome.RESET, next().outcome());
  }

  /** What came whole ahead of it is in, whether or not it was read in one go. */
  @Test
  void aMalformedFrameLeavesTheOnesAheadOfItGood() throws Exception {
    store.script = part -> Do.NOTHING;
    onLoop(() -> transport.call(List.of(part(1, 0), part(2, 1))));
    store.seen.poll(5, TimeUnit.SECONDS);
    store
        .sockets
        .get(0)
        .write(FrameStore.frame('q', "q.0 good 1 -\nv").appendBuffer(FrameStore.frame('?', "")));
    assertEquals("v", next().value());
    assertEquals(AttemptOutcome.RESET, next().outcome());
  }

  /**
   * A frame that never ends holds up what is behind it; its time is far shorter than that of the
   * parts. Answers to checks would fill it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aFrameThatNeverEndsIsAReset(boolean checked) throws Exception {
    store.script = part -> Do.NOTHING;
    FrameTransport to = checked ? transport : unasked(store.port(), 1);
    onLoop(() -> to.call(List.of(part(1, 0), part(2, 1))));
    store.seen.poll(5, TimeUnit.SECONDS);
    store
        .sockets
        .get(0)
        .write(
            FrameStore.frame('q', "q.0 good 1 -\nv")
                .appendBuffer(Buffer.buffer(new byte[] {100, 0, 0, 0, 'q', 'q'})));
    assertEquals(AttemptOutcome.OK, next().outcome());
    assertEquals(AttemptOutcome.RESET, next().outcome());
  }

  /**
   * All stores together are held to what the descriptors allow; what gets no connection has not
   * run.
   */
  @Test
  void noMoreConnectionsAreOpenedThanMayBe() throws Exception {
    store.script = part -> Do.NOTHING;
    onLoop(
        () -> {
          for (int i = 0; i <= 96; i++) { // three connections of 32 parts
            transport.call(List.of(part(i, i)));
          }
        });
    Event.AttemptCompleted over = next();
    assertEquals(AttemptOutcome.CONNECT_FAILED, over.outcome());
    assertEquals(96, over.attempt());
  }

  @Test
  void aRefusedConnectionProvesThatNothingRan() throws Exception {
    int port;
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = taken.getLocalPort();
    }
    onLoop(() -> to(port).call(List.of(part(1, 0))));
    assertEquals(AttemptOutcome.CONNECT_FAILED, next().outcome());
  }

  /** A send that waits for its connection must not leave once the store is known to drain. */
  @ParameterizedTest
  @EnumSource(
      value = ServerState.class,
      names = {"DRAINING", "WITHDRAWN"})
  void whatWaitsForAConnectionIsDroppedWhenTheStoreDrains(ServerState told) throws Exception {
    onLoop(
        () -> {
          transport.call(List.of(part(1, 0)));
          transport.state(told);
          transport.call(List.of(part(2, 0)));
        });
    assertEquals(AttemptOutcome.CONNECT_FAILED, next().outcome());
    assertEquals(AttemptOutcome.CONNECT_FAILED, next().outcome());
    assertEquals(0, store.seen.size());
  }

  /**
   * Replies name no attempt: the second attempt of a part goes where the first can not answer for
   * it.
   */
  @Test
  void aPartThatWasGivenUpIsNotMistakenForItsNextAttempt() throws Exception {
    store.script = part -> Do.NOTHING;
    onLoop(() -> transport.call(List.of(part(1, 0))));
    store.seen.poll(5, TimeUnit.SECONDS);
    onLoop(
        () -> {
          transport.giveUp(1);
          transport.call(List.of(part(2, 0)));
        });
    assertEquals("q.0", store.givenUp.poll(5, TimeUnit.SECONDS));
    store.seen.poll(5, TimeUnit.SECONDS);
    assertEquals(2, store.sockets.size());
    store.sockets.get(0).write(FrameStore.frame('q', "q.0 good 1 -\nof the first"));
    store.sockets.get(1).write(FrameStore.frame('q', "q.0 good 1 -\nof the second"));
    Event.AttemptCompleted over = next();
    assertEquals(2, over.attempt());
    assertEquals("of the second", over.value());
  }

  /**
   * A machine that vanished leaves its connections open: what is new must not join what it never
   * answered.
   */
  @Test
  void aConnectionThatStaysSilentGetsNothingNew() throws Exception {
    store.script = part -> Do.NOTHING;
    onLoop(() -> transport.call(List.of(part(1, 0), part(2, 1))));
    store.seen.poll(5, TimeUnit.SECONDS);
    aheadUs = 1_500_000;
    onLoop(
        () -> {
          transport.giveUp(1);
          transport.call(List.of(part(3, 2)));
        });
    while (store.seen.poll(5, TimeUnit.SECONDS).shard() != 2) {
      assertTrue(store.sockets.size() <= 2);
    }
    assertEquals(2, store.sockets.size());
  }

  /**
   * The store closes what stands idle, and a send that crosses that is lost: ours is closed before.
   */
  @Test
  void aConnectionThatStoodIdleIsNotUsedAgain() throws Exception {
    onLoop(() -> transport.call(List.of(part(1, 0))));
    assertEquals(AttemptOutcome.OK, next().outcome());
    aheadUs = 12_500_000;
    onLoop(() -> transport.call(List.of(part(2, 0))));
    assertEquals(AttemptOutcome.OK, next().outcome());
    assertEquals(2, store.sockets.size());
  }

  /**
   * The loop stands still from here until {@code peer} is done; then {@code task} goes before all
   * that came meanwhile.
   */
  private void whileBehind(Callable<?> peer, Runnable task) throws Exception {
    CountDownLatch behind = new CountDownLatch(1);
    CountDownLatch goOn = new CountDownLatch(1);
    onLoop(
        () -> {
          behind.countDown();
          try {
            goOn.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          task.run();
        });
    behind.await();
    peer.call();
    goOn.countDown();
  }

  /**
   * The store ends a connection that stands idle, and a call is written to it before that is read:
   * it may have run. Where it resets the connection nothing can be written any more, and the call
   * has not run.
   */
  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"RESET", "CONNECT_FAILED"})
  void aCallThatCrossesTheEndOfAnIdleConnectionMayHaveRunIfItLeft(AttemptOutcome outcome)
      throws Exception {
    try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      FrameTransport to = unasked(peer.getLocalPort(), 3);
      onLoop(() -> to.call(List.of(part(1, 0))));
      Socket taken = peer.accept();
      taken.getInputStream().skipNBytes(5 + "q.0 0 d=60000 4\ntext".length());
      taken.getOutputStream().write(FrameStore.frame('q', "q.0 good 1 -\nv").getBytes());
      assertEquals(AttemptOutcome.OK, next().outcome());
      whileBehind(
          () -> {
            taken.setSoLinger(outcome == AttemptOutcome.CONNECT_FAILED, 0);
            taken.close();
            return taken;
          },
          () -> to.call(List.of(part(2, 1), part(3, 2))));
      assertEquals(outcome, next().outcome());
      assertEquals(outcome, next().outcome());
      onLoop(() -> to.call(List.of(part(4, 3))));
      peer.accept().close(); // what is new goes over another
    }
  }

  /**
   * The store has sent half a line that nobody read: the close resets the connection, what is out
   * ends as that, and all else goes on.
   */
  @Test
  void aCloseOverUnreadBytesIsAResetOfAllThatIsOut() throws Exception {
    try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      FrameTransport to = unasked(peer.getLocalPort(), 3);
      onLoop(() -> to.call(List.of(part(1, 0), part(2, 1))));
      try (Socket taken = peer.accept()) {
        taken.setSoTimeout(5_000);
        assertTrue(taken.getInputStream().read() >= 0);
        onLoop(() -> to.giveUp(1));
        whileBehind(
            () -> {
              taken
                  .getOutputStream()
                  .write(FrameStore.frame('q', "q.1 good 1 -\nv").getBytes(0, 9));
              return taken;
            },
            to::close);
        Event.AttemptCompleted over = next();
        assertEquals(2, over.attempt());
        assertEquals(AttemptOutcome.RESET, over.outcome());
        assertThrows(
            SocketException.class,
            () -> {
              while (true) {
                taken.getOutputStream().write(0);
                Thread.yield();
              }
            });
      }
      onLoop(() -> transport.call(List.of(part(3, 2))));
      assertEquals(3, next().attempt());
    }
  }

  /**
   * The store closes the idle connection in the moment in which a call is written to it: that may
   * have run, and the next goes over a new one.
   */
  @Test
  void aCallThatCrossesTheStoresCloseIsAReset() throws Exception {
    onLoop(() -> transport.call(List.of(part(1, 0))));
    assertEquals(AttemptOutcome.OK, next().outcome());
    onLoop(
        () -> {
          store.sockets.get(0).close(); // the loop reads of it only after the call is written
          transport.call(List.of(part(2, 1)));
        });
    assertEquals(AttemptOutcome.RESET, next().outcome());
    onLoop(() -> transport.call(List.of(part(3, 2))));
    assertEquals(AttemptOutcome.OK, next().outcome());
    assertEquals(2, store.sockets.size());
  }

  /** A call that is more than the connection may carry goes over a second one. */
  @Test
  void aConnectionCarriesNoMorePartsThanItMay() throws Exception {
    store.script = part -> Do.NOTHING;
    onLoop(
        () -> {
          for (int call = 0; call < 5; call++) {
            List<AttemptRequest> parts = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
              parts.add(part(100 + call * 8 + i, call * 8 + i));
            }
            transport.call(parts);
          }
        });
    for (int i = 0; i < 40; i++) {
      assertTrue(store.seen.poll(5, TimeUnit.SECONDS) != null);
    }
    assertEquals(2, store.sockets.size());
  }

  /** A store that takes connections and reads nothing until the script says so. */
  private static ServerSocket slowReader() throws Exception {
    ServerSocket peer = new ServerSocket();
    peer.setReceiveBufferSize(4096);
    peer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return peer;
  }

  private static final int BIG = 16 << 20;

  private AttemptRequest big(long attempt) {
    return new AttemptRequest(
        attempt, "big", 0, "", clock.getAsLong() + 300_000_500, "x".repeat(BIG));
  }

  /** How a send stops being wanted while its call is half written. */
  enum Stop {
    BARRED,
    GIVEN_UP,
    TAKEN_BACK,
    DRAINING,
    WITHDRAWN,
    GONE,
    CLOSED;

    void to(FrameTransport transport) {
      switch (this) {
        case BARRED -> transport.barred(true);
        case GIVEN_UP -> transport.giveUp(1);
        case TAKEN_BACK -> transport.withdraw(1);
        case CLOSED -> transport.close();
        default -> transport.state(ServerState.valueOf(name()));
      }
    }
  }

  /**
   * The store's machine takes no more while a call is written; then the call is to leave no more.
   * An orderly close wrote the rest of it as soon as the store read again, though it had been
   * reported as one that never ran; a word of giving up came behind it.
   */
  @ParameterizedTest
  @EnumSource(Stop.class)
  void aCallThatIsHalfWrittenNeverBecomesWhole(Stop stop) throws Exception {
    try (ServerSocket peer = slowReader()) {
      FrameTransport slow = unasked(peer.getLocalPort(), 3);
      onLoop(() -> slow.call(List.of(big(1))));
      try (Socket taken = peer.accept()) {
        taken.setSoTimeout(5_000);
        assertTrue(taken.getInputStream().read() >= 0); // it has begun
        onLoop(
            () -> {
              stop.to(slow);
              ends.add(
                  Event.AttemptCompleted.of(
                      -1, AttemptOutcome.MOOT)); // all that the stop itself ends is reported by now
            });
        if (stop != Stop.GIVEN_UP) {
          assertEquals(
              Event.AttemptCompleted.of(1, AttemptOutcome.CONNECT_FAILED).outcome(),
              next().outcome());
        }
        assertEquals(-1, next().attempt());
        long read = 1;
        byte[] some = new byte[1 << 16];
        try {
          for (int n = taken.getInputStream().read(some);
              n >= 0;
              n = taken.getInputStream().read(some)) {
            read += n;
            assertTrue(read < BIG, "the call came whole");
          }
        } catch (SocketException e) {
          // a reset ends it as well
        }
      }
    }
  }

  /**
   * What waits behind a call that the store does not read can still be taken back: it never leaves.
   */
  @Test
  void whatWaitsBehindAnotherCallCanBeTakenBack() throws Exception {
    try (ServerSocket peer = slowReader()) {
      FrameTransport slow = unasked(peer.getLocalPort(), 3);
      onLoop(() -> slow.call(List.of(big(1))));
      try (Socket taken = peer.accept()) {
        taken.setSoTimeout(5_000);
        assertTrue(taken.getInputStream().read() >= 0);
        onLoop(
            () -> {
              for (int i = 2; i <= 5; i++) {
                slow.call(List.of(part(i, i)));
              }
              slow.giveUp(2);
              slow.withdraw(3);
              aheadUs += 60_000_000; // the time of those ahead is over
              slow.call(List.of(part(6, 6)));
            });
        assertEquals(3, next().attempt());
        DataInputStream in = new DataInputStream(taken.getInputStream());
        in.readNBytes(3);
        in.skipNBytes(1 + "big 0 d=300000 16777216\n".length() + BIG);
        in.skipNBytes(5);
        assertEquals("q.6", new String(in.readNBytes(3), StandardCharsets.US_ASCII));
        assertEquals(4, next().attempt());
        assertEquals(5, next().attempt());
      }
    }
  }

  /**
   * The connection comes up only when the send may not leave any more: its time, or that in which
   * it may be repeated, is over.
   */
  @ParameterizedTest
  @ValueSource(longs = {60_000_000, 30_000_000})
  void whatMayNotLeaveAnyMoreWhenTheConnectionComesUpDoesNot(long lateUs) throws Exception {
    onLoop(
        () -> {
          long now = clock.getAsLong();
          transport.call(
              List.of(
                  new AttemptRequest(
                      1, "q.1", 1, "k", now + 60_000_000, now + 20_000_000, "text", false, null),
                  part(2, 2)));
          aheadUs = lateUs; // before the loop can learn that it is up
        });
    assertEquals(1, next().attempt());
    Event.AttemptCompleted second = next();
    assertEquals(
        lateUs > 30_000_000 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK, second.outcome());
    assertEquals(lateUs > 30_000_000 ? 0 : 1, store.seen.size());
  }

  /**
   * Where a store is not to be told, what waits for the connection is taken back all the same, and
   * what has left goes on.
   */
  @Test
  void whatIsTakenBackEndsOnlyIfItHasNotLeft() throws Exception {
    onLoop(
        () -> {
          transport.call(List.of(part(1, 0), part(2, 1)));
          transport.withdraw(1);
        });
    Event.AttemptCompleted back = next();
    assertEquals(1, back.attempt());
    assertEquals(AttemptOutcome.MOOT, back.outcome());
    assertEquals(AttemptOutcome.OK, next().outcome());
    store.script = part -> Do.NOTHING;
    onLoop(() -> transport.call(List.of(part(3, 2))));
    assertEquals(1, store.seen.poll(5, TimeUnit.SECONDS).shard());
    assertEquals(2, store.seen.poll(5, TimeUnit.SECONDS).shard());
    onLoop(() -> transport.withdraw(3));
    store.sockets.get(0).write(FrameStore.frame('q', "q.2 good 1 -\nv"));
    assertEquals(AttemptOutcome.OK, next().outcome());
    assertTrue(store.givenUp.isEmpty());
  }

  /**
   * No descriptor is left (EMFILE): the call ends as one that was not connected, as after a refused
   * connection, and holds no place.
   */
  @Test
  void aConnectionThatCanNotEvenBeMadeProvesThatNothingRan() throws Exception {
    class Full extends OwnTransport {
      private final AtomicInteger left = new AtomicInteger(2);

      @Override
      public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        ChannelFactory<? extends Channel> real = super.channelFactory(domainSocket);
        return () -> {
          if (left.getAndDecrement() > 0) { // as the JDK's own
            throw new ChannelException(
                "Failed to open a socket.", new SocketException("Too many open files"));
          }
          return real.newChannel();
        };
      }
    }

    Vertx full =
        Vertx.builder()
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .withTransport(new Full())
            .build();
    try {
      FrameTransport one =
          new FrameTransport(shared(full, 1, Stage.settings(100).limits()), entry(store.port()));
      for (int attempt = 1; attempt <= 3; attempt++) {
        AttemptRequest part = part(attempt, attempt);
        full.runOnContext(v -> one.call(List.of(part)));
        assertEquals(
            attempt < 3 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK, next().outcome());
      }
    } finally {
      full.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }
  }

  /**
   * The failure may be known before the call that the connection was opened for is handed to it:
   * that call waited for its time-out.
   */
  @Test
  void aCallOnAConnectionThatFailedAtOnceEnds() throws Exception {
    BlockingQueue<Event> probes = new LinkedBlockingQueue<>();
    FrameTransport.Shared shared =
        new FrameTransport.Shared(
            vertx,
            () -> Stage.settings(100).limits(),
            () -> 1,
            new LoadReportParser(() -> Stage.settings(100).reportFields()),
            clock,
            event -> {
              if (event instanceof Event.AttemptCompleted over) {
                ends.add(over);
              } else {
                probes.add(event);
              }
            });
    onLoop(
        () -> {
          FrameConnection failed = new FrameConnection(shared, () -> false, c -> {}, () -> {});
          failed.close();
          failed.call(List.of(part(1, 0), part(2, 1)));
          failed.probe(7);
        });
    for (long attempt = 1; attempt <= 2; attempt++) {
      Event.AttemptCompleted over = next();
      assertEquals(attempt, over.attempt());
      assertEquals(AttemptOutcome.CONNECT_FAILED, over.outcome());
    }
    assertTrue(
        probes.poll(5, TimeUnit.SECONDS) instanceof Event.HealthCheckCompleted over
            && over.probe() == 7);
  }

  /**
   * A connection that is left before it is up holds its descriptor until it is up and closed, or
   * has failed.
   */
  @Test
  void aConnectionThatIsStillToComeUpCountsUntilItIsClosed() throws Exception {
    try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      FrameTransport one = unasked(peer.getLocalPort(), 1);
      onLoop(
          () -> {
            one.call(List.of(part(1, 0)));
            one.close();
            one.call(List.of(part(2, 1)));
            ends.add(Event.AttemptCompleted.of(-1, AttemptOutcome.MOOT));
          });
      assertEquals(1, next().attempt());
      assertEquals(2, next().attempt());
      assertEquals(-1, next().attempt());
      try (Socket left = peer.accept()) {
        assertEquals(-1, left.getInputStream().read());
      }
      onLoop(() -> one.call(List.of(part(3, 2))));
      try (Socket taken = peer.accept()) {
        assertTrue(taken.getInputStream().read() >= 0);
      }
    }
  }

  /** A frame that comes byte by byte was copied whole with each of them. */
  @Test
  void aFrameInSmallPiecesIsNotCopiedWithEach() throws Exception {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    Buffer bytes = FrameStore.frame('q', "q.0 good 0 -\n" + "x".repeat(1 << 16));
    Frames frames = new Frames();
    List<Frames.Frame> read = new ArrayList<>();
    long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    for (int i = 0; i < bytes.length(); i++) {
      frames.read(bytes.getBuffer(i, i + 1), read::add);
    }
    long spent = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
    assertEquals(1, read.size());
    assertTrue(spent < 64L << 20, "bytes: " + spent);
  }

  @Test
  void framesAreReadInAnyPieces() throws Exception {
    Buffer bytes =
        FrameStore.frame('q', "q.0 later 0 -\n").appendBuffer(FrameStore.frame('p', "bad"));
    Frames frames = new Frames();
    List<Frames.Frame> read = new ArrayList<>();
    for (int i = 0; i < bytes.length(); i++) {
      frames.read(bytes.getBuffer(i, i + 1), read::add);
    }
    assertEquals(
        List.of(
            new Frames.Frame('q', Buffer.buffer("q.0 later 0 -\n")),
            new Frames.Frame('p', Buffer.buffer("bad"))),
        read);
    assertEquals("later", Frames.partReply(read.get(0).rest()).end());
    assertThrows(
        Frames.MalformedException.class, () -> Frames.partReply(Buffer.buffer("q.0 good\nvalue")));
    assertThrows(
        Frames.MalformedException.class,
        () -> new Frames().read(Buffer.buffer(new byte[4]), read::add));
  }
}

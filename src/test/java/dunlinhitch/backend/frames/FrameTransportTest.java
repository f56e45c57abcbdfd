package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store.Behavior;
import dunlinhitch.server.CustomTransport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Calls and connections of the transport to one store, against a scripted store. */
class FrameTransportTest extends FrameTransportFixture {
  @Test
  void repliesCarryLoadReportAndShareOneConnection() throws Exception {
    onLoop(
        () -> {
          transport.send(List.of(part(1, 0), part(2, 1)));
          transport.send(List.of(part(3, 2)));
        });
    for (long attempt = 1; attempt <= 3; attempt++) {
      Event.AttemptCompleted completion = nextCompletion();
      assertEquals(attempt, completion.attempt());
      assertEquals(AttemptOutcome.OK, completion.outcome());
      assertEquals(5, completion.report()[0]);
    }
    assertEquals(1, store.sockets.size());
  }

  /**
   * Nothing new is sent to an administratively disabled store, not even a liveness check; calls
   * that wait for a connection fail.
   */
  @Test
  void disabledStoreGetsNoNewRequests() throws Exception {
    store.script = part -> Behavior.NOTHING;
    onLoop(() -> transport.send(List.of(part(1, 0))));
    assertTrue(store.receivedParts.poll(5, TimeUnit.SECONDS) != null);
    onLoop(
        () -> {
          transport.setDisabled(true);
          transport.send(List.of(part(2, 1)));
          transport.sendHealthCheck(1);
        });
    Event.AttemptCompleted barred = nextCompletion();
    assertEquals(2, barred.attempt());
    assertEquals(AttemptOutcome.CONNECT_FAILED, barred.outcome());
    int checks = store.livenessChecks.size();
    onLoop(
        () -> {
          transport.setDisabled(false);
          transport.send(List.of(part(3, 2)));
        });
    assertTrue(store.receivedParts.poll(5, TimeUnit.SECONDS) != null);
    assertTrue(
        checks <= 1 && store.healthChecks.isEmpty() && store.receivedParts.isEmpty(),
        "liveness checks: " + checks);
  }

  /**
   * The connections to all stores together are bounded by the file descriptors; an attempt without
   * a connection has not run.
   */
  @Test
  void doesNotOpenMoreConnectionsThanAllowed() throws Exception {
    store.script = part -> Behavior.NOTHING;
    onLoop(
        () -> {
          // one more part than three connections with 32 parts each can carry
          for (int i = 0; i <= 96; i++) {
            transport.send(List.of(part(i, i)));
          }
        });
    Event.AttemptCompleted completion = nextCompletion();
    assertEquals(AttemptOutcome.CONNECT_FAILED, completion.outcome());
    assertEquals(96, completion.attempt());
  }

  @Test
  void refusedConnectionFailsAttemptAsNeverRun() throws Exception {
    int port;
    try (ServerSocket accepted = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = accepted.getLocalPort();
    }
    onLoop(() -> transportTo(port).send(List.of(part(1, 0))));
    assertEquals(AttemptOutcome.CONNECT_FAILED, nextCompletion().outcome());
  }

  /** A call that waits for its connection must not be sent once the store is known to drain. */
  @ParameterizedTest
  @EnumSource(
      value = ServerState.class,
      names = {"DRAINING", "WITHDRAWN"})
  void pendingCallsFailWhenStoreDrains(ServerState newState) throws Exception {
    onLoop(
        () -> {
          transport.send(List.of(part(1, 0)));
          transport.updateState(newState);
          transport.send(List.of(part(2, 0)));
        });
    assertEquals(AttemptOutcome.CONNECT_FAILED, nextCompletion().outcome());
    assertEquals(AttemptOutcome.CONNECT_FAILED, nextCompletion().outcome());
    assertEquals(0, store.receivedParts.size());
  }

  /**
   * Replies do not identify the attempt, so a retry of a part must use another connection than the
   * first attempt.
   */
  @Test
  void lateReplyOfCancelledAttemptIsNotTakenForRetry() throws Exception {
    store.script = part -> Behavior.NOTHING;
    onLoop(() -> transport.send(List.of(part(1, 0))));
    store.receivedParts.poll(5, TimeUnit.SECONDS);
    onLoop(
        () -> {
          transport.cancel(1, false);
          transport.send(List.of(part(2, 0)));
        });
    assertEquals("q.0", store.cancelledParts.poll(5, TimeUnit.SECONDS));
    store.receivedParts.poll(5, TimeUnit.SECONDS);
    assertEquals(2, store.sockets.size());
    store.sockets.get(0).write(FrameStore.frame('q', "q.0 good 1 -\nof the first"));
    store.sockets.get(1).write(FrameStore.frame('q', "q.0 good 1 -\nof the second"));
    Event.AttemptCompleted completion = nextCompletion();
    assertEquals(2, completion.attempt());
    assertEquals("of the second", completion.value());
  }

  /**
   * The store closes idle connections, and a call that is sent during such a close is lost.
   * Therefore this side must close idle connections before the store does.
   */
  @Test
  void connectionPastIdleTimeoutIsNotReused() throws Exception {
    onLoop(() -> transport.send(List.of(part(1, 0))));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    advancedUs.set(12_500_000);
    onLoop(() -> transport.send(List.of(part(2, 0))));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    assertEquals(2, store.sockets.size());
  }

  /** A call that would exceed the capacity of the connection is sent over a second connection. */
  @Test
  void callBeyondConnectionCapacityUsesSecondConnection() throws Exception {
    store.script = part -> Behavior.NOTHING;
    onLoop(
        () -> {
          for (int call = 0; call < 5; call++) {
            List<AttemptRequest> parts = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
              parts.add(part(100 + call * 8 + i, call * 8 + i));
            }
            transport.send(parts);
          }
        });
    for (int i = 0; i < 40; i++) {
      assertTrue(store.receivedParts.poll(5, TimeUnit.SECONDS) != null);
    }
    assertEquals(2, store.sockets.size());
  }

  /**
   * No file descriptor is left (EMFILE): the call fails as after a refused connection, and the
   * failed connection does not count towards the bound.
   */
  @Test
  void exhaustedFileDescriptorsFailAttemptAsNeverRun() throws Exception {
    class Full extends CustomTransport {
      private final AtomicInteger remaining = new AtomicInteger(2);

      @Override
      public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        ChannelFactory<? extends Channel> real = super.channelFactory(domainSocket);
        return () -> {
          if (remaining.getAndDecrement() > 0) { // as Netty reports a lack of file descriptors
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
      FrameTransport limited =
          new FrameTransport(
              shared(full, 1, BrokerFixture.settings(100).limits()), endpoint(store.port()));
      for (int attempt = 1; attempt <= 3; attempt++) {
        AttemptRequest part = part(attempt, attempt);
        full.runOnContext(v -> limited.send(List.of(part)));
        assertEquals(
            attempt < 3 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK,
            nextCompletion().outcome());
      }
    } finally {
      full.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }
  }

  /**
   * A connection may fail before it gets the call that it was opened for. Guards against a call
   * that waits for its timeout on such a connection.
   */
  @Test
  void callOnFailedConnectionEndsAtOnce() throws Exception {
    BlockingQueue<Event> probes = new LinkedBlockingQueue<>();
    FrameTransport.Shared shared =
        shared(
            vertx,
            this::nowUs,
            event -> {
              if (event instanceof Event.AttemptCompleted completion) {
                completions.add(completion);
              } else {
                probes.add(event);
              }
            });
    onLoop(
        () -> {
          FrameConnection failed = new FrameConnection(shared, () -> false, c -> {}, () -> {});
          failed.close();
          failed.send(List.of(part(1, 0), part(2, 1)));
          failed.sendHealthCheck(7);
        });
    for (long attempt = 1; attempt <= 2; attempt++) {
      Event.AttemptCompleted completion = nextCompletion();
      assertEquals(attempt, completion.attempt());
      assertEquals(AttemptOutcome.CONNECT_FAILED, completion.outcome());
    }
    assertTrue(
        probes.poll(5, TimeUnit.SECONDS) instanceof Event.HealthCheckCompleted completion
            && completion.healthCheck() == 7);
  }

  /**
   * A connection that is closed while it connects holds its file descriptor until it is established
   * and closed, or has failed.
   */
  @Test
  void connectingConnectionCountsUntilClosed() throws Exception {
    try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      FrameTransport limited = withoutLivenessChecks(peer.getLocalPort(), 1);
      onLoop(
          () -> {
            limited.send(List.of(part(1, 0)));
            limited.close();
            limited.send(List.of(part(2, 1)));
            completions.add(Event.AttemptCompleted.of(-1, AttemptOutcome.MOOT));
          });
      assertEquals(1, nextCompletion().attempt());
      assertEquals(2, nextCompletion().attempt());
      assertEquals(-1, nextCompletion().attempt());
      try (Socket remaining = peer.accept()) {
        assertEquals(-1, remaining.getInputStream().read());
      }
      onLoop(() -> limited.send(List.of(part(3, 2))));
      try (Socket accepted = peer.accept()) {
        assertTrue(accepted.getInputStream().read() >= 0);
      }
    }
  }
}

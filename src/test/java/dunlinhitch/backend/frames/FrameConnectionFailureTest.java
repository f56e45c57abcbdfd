package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Event;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store.Behavior;
import io.vertx.core.buffer.Buffer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections that break, are unresponsive or deliver malformed frames. */
class FrameConnectionFailureTest extends FrameTransportFixture {
  /**
   * A busy store replies to a liveness check without queueing the check, so its attempts stay in
   * flight. A connection without any reply is closed, and new calls use another connection.
   */
  @Test
  void closesConnectionOnlyIfLivenessCheckIsUnanswered() throws Exception {
    store.script = part -> part.shard() == 0 ? Behavior.NOTHING : Behavior.GOOD;
    onLoop(() -> transport.send(List.of(part(1, 0))));
    for (int i = 0; i < 3; i++) {
      assertTrue(store.livenessChecks.poll(5, TimeUnit.SECONDS) != null);
    }
    assertEquals(0, completions.size());
    store.unresponsive = true;
    Event.AttemptCompleted lost = nextCompletion();
    assertEquals(1, lost.attempt());
    assertEquals(AttemptOutcome.RESET, lost.outcome());
    store.unresponsive = false;
    onLoop(() -> transport.send(List.of(part(2, 1))));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    assertEquals(2, store.sockets.size());
  }

  /**
   * The connections to a dead host stay open, so new calls must not be sent over connections that
   * never got a reply.
   */
  @Test
  void unresponsiveConnectionGetsNoNewCalls() throws Exception {
    store.script = part -> Behavior.NOTHING;
    onLoop(() -> transport.send(List.of(part(1, 0), part(2, 1))));
    store.receivedParts.poll(5, TimeUnit.SECONDS);
    advancedUs.set(1_500_000);
    onLoop(
        () -> {
          transport.cancel(1, false);
          transport.send(List.of(part(3, 2)));
        });
    while (store.receivedParts.poll(5, TimeUnit.SECONDS).shard() != 2) {
      assertTrue(store.sockets.size() <= 2);
    }
    assertEquals(2, store.sockets.size());
  }

  /** A malformed frame ends the connection: every attempt in flight on it may have run. */
  @Test
  void malformedFrameResetsAttemptsInFlight() throws Exception {
    store.script = part -> Behavior.NOTHING;
    onLoop(() -> transport.send(List.of(part(1, 0), part(2, 1))));
    store.receivedParts.poll(5, TimeUnit.SECONDS);
    store.sockets.get(0).write(Buffer.buffer(new byte[] {-1, -1, -1, 127, 'q'}));
    assertEquals(AttemptOutcome.RESET, nextCompletion().outcome());
    assertEquals(AttemptOutcome.RESET, nextCompletion().outcome());
  }

  /**
   * Guards against replies that are misread because a fault in the handling of an earlier reply
   * left the decoder in the middle of the stream.
   */
  @Test
  void faultWhileAReplyIsReadClosesTheConnection() throws Exception {
    onLoop(() -> transport.send(List.of(part(1, 0))));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    store.script = part -> part.shard() == 0 ? Behavior.GOOD : Behavior.NOTHING;
    reportFault = new AssertionError("test");
    onLoop(() -> transport.send(List.of(part(2, 0), part(3, 1))));
    Event.AttemptCompleted lost = nextCompletion();
    assertEquals(3, lost.attempt());
    assertEquals(AttemptOutcome.RESET, lost.outcome());
    reportFault = null;
    onLoop(() -> transport.send(List.of(part(4, 0))));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    assertEquals(2, store.sockets.size());
  }

  /** Complete frames ahead of a malformed one are handled, even if they were read together. */
  @Test
  void framesAheadOfMalformedFrameAreHandled() throws Exception {
    store.script = part -> Behavior.NOTHING;
    onLoop(() -> transport.send(List.of(part(1, 0), part(2, 1))));
    store.receivedParts.poll(5, TimeUnit.SECONDS);
    store
        .sockets
        .get(0)
        .write(FrameStore.frame('q', "q.0 good 1 -\nv").appendBuffer(FrameStore.frame('?', "")));
    assertEquals("v", nextCompletion().value());
    assertEquals(AttemptOutcome.RESET, nextCompletion().outcome());
  }

  /**
   * An incomplete frame blocks all frames behind it, so its timeout is far shorter than the timeout
   * of a part. If liveness checks are enabled, the bytes of their replies are read as the rest of
   * the incomplete frame.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void incompleteFrameTimesOutAsReset(boolean checked) throws Exception {
    store.script = part -> Behavior.NOTHING;
    FrameTransport target = checked ? transport : withoutLivenessChecks(store.port(), 1);
    onLoop(() -> target.send(List.of(part(1, 0), part(2, 1))));
    store.receivedParts.poll(5, TimeUnit.SECONDS);
    store
        .sockets
        .get(0)
        .write(
            FrameStore.frame('q', "q.0 good 1 -\nv")
                .appendBuffer(Buffer.buffer(new byte[] {100, 0, 0, 0, 'q', 'q'})));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    assertEquals(AttemptOutcome.RESET, nextCompletion().outcome());
  }

  /**
   * Blocks the event loop until {@code peer} is done, then runs {@code task} before the event loop
   * reads what has arrived in the meantime.
   */
  private void whileLoopIsBlocked(Callable<?> peer, Runnable task) throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    onLoop(
        () -> {
          blocked.countDown();
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          task.run();
        });
    blocked.await();
    peer.call();
    release.countDown();
  }

  /**
   * The store closes or resets an idle connection, and the broker sends a call before it reads the
   * close or the reset. After a close the call can still be written, so it may have run. After a
   * reset nothing can be written, so the call has not run.
   */
  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"RESET", "CONNECT_FAILED"})
  void callCrossingPeerCloseMayHaveRunIfWritten(AttemptOutcome outcome) throws Exception {
    try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      FrameTransport target = withoutLivenessChecks(peer.getLocalPort(), 3);
      onLoop(() -> target.send(List.of(part(1, 0))));
      Socket accepted = peer.accept();
      accepted.getInputStream().skipNBytes(5 + "q.0 0 d=60000 4\ntext".length());
      accepted.getOutputStream().write(FrameStore.frame('q', "q.0 good 1 -\nv").getBytes());
      assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
      whileLoopIsBlocked(
          () -> {
            accepted.setSoLinger(outcome == AttemptOutcome.CONNECT_FAILED, 0);
            accepted.close();
            return accepted;
          },
          () -> target.send(List.of(part(2, 1), part(3, 2))));
      assertEquals(outcome, nextCompletion().outcome());
      assertEquals(outcome, nextCompletion().outcome());
      onLoop(() -> target.send(List.of(part(4, 3))));
      peer.accept().close(); // new calls use another connection
    }
  }

  /**
   * The broker closes a connection with an incomplete, unread frame from the store: the close
   * resets the connection, its attempts in flight end as reset, and other connections are not
   * affected.
   */
  @Test
  @SuppressWarnings("ThreadPriorityCheck") // Thread.yield keeps the busy wait for the reset cheap
  void closeWithUnreadBytesResetsAttemptsInFlight() throws Exception {
    try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      FrameTransport target = withoutLivenessChecks(peer.getLocalPort(), 3);
      onLoop(() -> target.send(List.of(part(1, 0), part(2, 1))));
      try (Socket accepted = peer.accept()) {
        accepted.setSoTimeout(5_000);
        assertTrue(accepted.getInputStream().read() >= 0);
        onLoop(() -> target.cancel(1, false));
        whileLoopIsBlocked(
            () -> {
              accepted
                  .getOutputStream()
                  .write(FrameStore.frame('q', "q.1 good 1 -\nv").getBytes(0, 9));
              return accepted;
            },
            target::close);
        Event.AttemptCompleted completion = nextCompletion();
        assertEquals(2, completion.attempt());
        assertEquals(AttemptOutcome.RESET, completion.outcome());
        assertThrows(
            SocketException.class,
            () -> {
              while (true) {
                accepted.getOutputStream().write(0);
                Thread.yield();
              }
            });
      }
      onLoop(() -> transport.send(List.of(part(3, 2))));
      assertEquals(3, nextCompletion().attempt());
    }
  }

  /**
   * The store closes the idle connection while a call is written to it: the call may have run, and
   * the next one uses a new connection.
   */
  @Test
  void callCrossingStoreCloseIsReset() throws Exception {
    onLoop(() -> transport.send(List.of(part(1, 0))));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    onLoop(
        () -> {
          store
              .sockets
              .get(0)
              .close(); // the event loop reads the close only after the call is written
          transport.send(List.of(part(2, 1)));
        });
    assertEquals(AttemptOutcome.RESET, nextCompletion().outcome());
    onLoop(() -> transport.send(List.of(part(3, 2))));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    assertEquals(2, store.sockets.size());
  }
}

package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store.Behavior;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls that are cancelled, withdrawn or expire before they are completely sent. */
class FrameTransportWithdrawalTest extends FrameTransportFixture {
  /** A store that accepts connections but reads nothing until the test does. */
  private static ServerSocket slowPeer() throws Exception {
    ServerSocket peer = new ServerSocket();
    peer.setReceiveBufferSize(4096);
    peer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return peer;
  }

  private static final int BIG_TEXT_LENGTH = 16 << 20;

  private AttemptRequest bigPart(long attempt) {
    return new AttemptRequest(
        attempt, "big", 0, "", nowUs() + 300_000_500, "x".repeat(BIG_TEXT_LENGTH));
  }

  /** Events that make a call obsolete while it is partly written. */
  enum Stop {
    DISABLED,
    CANCELLED,
    WITHDRAWN_ATTEMPT,
    DRAINING,
    WITHDRAWN,
    GONE,
    CLOSED;

    void apply(FrameTransport transport) {
      switch (this) {
        case DISABLED -> transport.setDisabled(true);
        case CANCELLED -> transport.cancel(1, false);
        case WITHDRAWN_ATTEMPT -> transport.withdraw(1);
        case CLOSED -> transport.close();
        default -> transport.updateState(ServerState.valueOf(name()));
      }
    }
  }

  /**
   * A call is partly written, because the store does not read, and is then stopped. The rest of the
   * call must never be written, because the call is reported as never run. Guards against an
   * orderly close, which would write the rest once the store reads again.
   */
  @ParameterizedTest
  @EnumSource(Stop.class)
  void halfWrittenCallIsNeverCompleted(Stop stop) throws Exception {
    try (ServerSocket peer = slowPeer()) {
      FrameTransport slow = withoutLivenessChecks(peer.getLocalPort(), 3);
      onLoop(() -> slow.send(List.of(bigPart(1))));
      try (Socket accepted = peer.accept()) {
        accepted.setSoTimeout(5_000);
        assertTrue(accepted.getInputStream().read() >= 0); // the first byte of the call was written
        onLoop(
            () -> {
              stop.apply(slow);
              // a marker that follows all completions caused by the stop
              completions.add(Event.AttemptCompleted.of(-1, AttemptOutcome.MOOT));
            });
        if (stop != Stop.CANCELLED) {
          assertEquals(
              Event.AttemptCompleted.of(1, AttemptOutcome.CONNECT_FAILED).outcome(),
              nextCompletion().outcome());
        }
        assertEquals(-1, nextCompletion().attempt());
        long read = 1;
        byte[] buffer = new byte[1 << 16];
        try {
          for (int count = accepted.getInputStream().read(buffer);
              count >= 0;
              count = accepted.getInputStream().read(buffer)) {
            read += count;
            assertTrue(read < BIG_TEXT_LENGTH, "the call was completely sent");
          }
        } catch (SocketException e) {
          // a reset is also accepted
        }
      }
    }
  }

  /**
   * A call can be withdrawn while it is queued behind a call that the store has not read; it is
   * then never sent.
   */
  @Test
  void pendingCallCanBeWithdrawn() throws Exception {
    try (ServerSocket peer = slowPeer()) {
      FrameTransport slow = withoutLivenessChecks(peer.getLocalPort(), 3);
      onLoop(() -> slow.send(List.of(bigPart(1))));
      try (Socket accepted = peer.accept()) {
        accepted.setSoTimeout(5_000);
        assertTrue(accepted.getInputStream().read() >= 0);
        onLoop(
            () -> {
              for (int i = 2; i <= 5; i++) {
                slow.send(List.of(part(i, i)));
              }
              slow.cancel(2, false);
              slow.withdraw(3);
              advancedUs.addAndGet(60_000_000); // the deadline of the calls ahead has passed
              slow.send(List.of(part(6, 6)));
            });
        assertEquals(3, nextCompletion().attempt());
        DataInputStream in = new DataInputStream(accepted.getInputStream());
        in.readNBytes(3);
        in.skipNBytes(1 + "big 0 d=300000 16777216\n".length() + BIG_TEXT_LENGTH);
        in.skipNBytes(5);
        assertEquals("q.6", new String(in.readNBytes(3), StandardCharsets.US_ASCII));
        assertEquals(4, nextCompletion().attempt());
        assertEquals(5, nextCompletion().attempt());
      }
    }
  }

  /**
   * A part must not be sent if its connection is established only after the deadline of the part,
   * or after the time until which its attempt may be repeated.
   */
  @ParameterizedTest
  @ValueSource(longs = {60_000_000, 30_000_000})
  void expiredPartsAreNotSentWhenConnectionIsEstablished(long advanceUs) throws Exception {
    onLoop(
        () -> {
          long nowUs = nowUs();
          transport.send(
              List.of(
                  new AttemptRequest(
                      1,
                      "q.1",
                      1,
                      "k",
                      nowUs + 60_000_000,
                      nowUs + 20_000_000,
                      "text",
                      false,
                      null),
                  part(2, 2)));
          // before the event loop detects that the connection is established
          advancedUs.set(advanceUs);
        });
    assertEquals(1, nextCompletion().attempt());
    Event.AttemptCompleted second = nextCompletion();
    assertEquals(
        advanceUs > 30_000_000 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK,
        second.outcome());
    assertEquals(advanceUs > 30_000_000 ? 0 : 1, store.receivedParts.size());
  }

  /**
   * Withdrawing does not notify the store: an attempt that waits for the connection ends, and one
   * that was sent continues.
   */
  @Test
  void withdrawnAttemptEndsOnlyIfNotSent() throws Exception {
    onLoop(
        () -> {
          transport.send(List.of(part(1, 0), part(2, 1)));
          transport.withdraw(1);
        });
    Event.AttemptCompleted back = nextCompletion();
    assertEquals(1, back.attempt());
    assertEquals(AttemptOutcome.MOOT, back.outcome());
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    store.script = part -> Behavior.NOTHING;
    onLoop(() -> transport.send(List.of(part(3, 2))));
    assertEquals(1, store.receivedParts.poll(5, TimeUnit.SECONDS).shard());
    assertEquals(2, store.receivedParts.poll(5, TimeUnit.SECONDS).shard());
    onLoop(() -> transport.withdraw(3));
    store.sockets.get(0).write(FrameStore.frame('q', "q.2 good 1 -\nv"));
    assertEquals(AttemptOutcome.OK, nextCompletion().outcome());
    assertTrue(store.cancelledParts.isEmpty());
  }
}

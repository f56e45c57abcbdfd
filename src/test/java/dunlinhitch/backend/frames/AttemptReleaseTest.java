package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.buffer.Buffer;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An attempt that the broker has cancelled or lost must not be released until the store has proved
 * that it no longer has the attempt. The store is a socket that reads and writes only when the test
 * does.
 */
class AttemptReleaseTest extends FrameTransportFixture {
  private static final byte[] MALFORMED = {-1, -1, -1, 127, 'q'};
  private static final int BIG_TEXT_LENGTH = 16 << 20;
  private ServerSocket listener;
  private Socket peer;

  @BeforeEach
  void listen() throws IOException {
    listener = new ServerSocket();
    listener.setReceiveBufferSize(4096);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void closePeer() throws IOException {
    listener.close();
    if (peer != null) {
      peer.close();
    }
  }

  private void accept() throws IOException {
    peer = listener.accept();
    peer.setSoTimeout(5_000);
  }

  /** Reads one frame and returns its type; -1 at the end of the stream. */
  private int readFrame() throws IOException {
    DataInputStream in = new DataInputStream(peer.getInputStream());
    int length = in.read();
    if (length < 0) {
      return -1;
    }
    length |= in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
    in.readUnsignedByte();
    int type = in.readUnsignedByte();
    in.skipNBytes(length - 1);
    return type;
  }

  /** Skips liveness checks and returns the type of the next other frame. */
  private int readFrameSkippingChecks() throws IOException {
    int type = readFrame();
    while (type == FrameType.LIVENESS_CHECK) {
      type = readFrame();
    }
    return type;
  }

  private void write(Buffer bytes) throws IOException {
    peer.getOutputStream().write(bytes.getBytes());
  }

  /**
   * Checks that no attempt was completed or released: the next completion is the marker posted
   * here.
   */
  private void assertNothingReleased() throws InterruptedException {
    onLoop(() -> completions.add(Event.AttemptCompleted.of(-1, AttemptOutcome.MOOT)));
    assertEquals(-1, nextCompletion().attempt());
    assertEquals(0, releases.size());
  }

  private void expectUnconfirmedReset(long attempt) throws InterruptedException {
    Event.AttemptCompleted lost = nextCompletion();
    assertEquals(attempt, lost.attempt());
    assertEquals(AttemptOutcome.RESET, lost.outcome());
    assertTrue(lost.unconfirmed());
  }

  private void sendOne(FrameTransport transport) throws IOException {
    onLoop(() -> transport.send(List.of(part(1, 0))));
    accept();
    assertEquals(FrameType.CALL, readFrame());
  }

  @Test
  void replyToCheckSentAfterCancellationReleasesAttempt() throws Exception {
    FrameTransport transport = transportTo(listener.getLocalPort());
    sendOne(transport);
    onLoop(() -> transport.cancel(1, true));
    assertEquals(FrameType.CANCEL, readFrameSkippingChecks());
    assertEquals(FrameType.LIVENESS_CHECK, readFrame());
    assertNothingReleased();
    // replies to the check after the cancellation and to at most two checks sent before it
    for (int i = 0; i < 3; i++) {
      write(FrameStore.frame(FrameType.LIVENESS_CHECK, "good"));
    }
    assertEquals(1, nextRelease());
  }

  /** The store's reply to the attempt proves that the store no longer has it. */
  @Test
  void replyReleasesCancelledAttempt() throws Exception {
    FrameTransport transport = transportTo(listener.getLocalPort());
    sendOne(transport);
    onLoop(() -> transport.cancel(1, true));
    assertEquals(FrameType.CANCEL, readFrameSkippingChecks());
    assertNothingReleased();
    write(FrameStore.frame(FrameType.PART_REPLY, "q.0 good 1 -\nv"));
    assertEquals(1, nextRelease());
    assertEquals(0, completions.size());
  }

  /**
   * If liveness checks are not allowed, the store confirms the cancellation by closing the
   * connection, which it does only after it has read this side's end of stream.
   */
  @Test
  void storeClosingConnectionReleasesAttemptsWithoutLivenessChecks() throws Exception {
    FrameTransport transport = withoutLivenessChecks(listener.getLocalPort(), 3);
    sendOne(transport);
    onLoop(() -> transport.cancel(1, true));
    int last = readFrame();
    while (last >= 0) {
      assertEquals(FrameType.CANCEL, last);
      last = readFrame();
    }
    assertNothingReleased();
    peer.close();
    assertEquals(1, nextRelease());
  }

  /**
   * If the broker closes the connection, the attempts in flight are lost. They are released only
   * once the store closes the connection too.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void locallyClosedConnectionReleasesAttemptsOnceStoreClosesIt(boolean cancelledBefore)
      throws Exception {
    FrameTransport transport = transportTo(listener.getLocalPort());
    sendOne(transport);
    if (cancelledBefore) {
      onLoop(() -> transport.cancel(1, true));
    }
    write(Buffer.buffer(MALFORMED));
    if (!cancelledBefore) {
      expectUnconfirmedReset(1);
    }
    while (readFrame() >= 0) {
      assertNothingReleased();
    }
    peer.close();
    assertEquals(1, nextRelease());
  }

  /**
   * If the store does not close the connection, the attempt is not released, even after this side
   * has stopped waiting and has closed its file descriptor.
   */
  @Test
  @SuppressWarnings("ThreadPriorityCheck") // Thread.yield keeps the busy wait for the close cheap
  void storeThatNeverClosesDoesNotReleaseAttempts() throws Exception {
    FrameTransport transport = transportTo(listener.getLocalPort());
    sendOne(transport);
    write(Buffer.buffer(MALFORMED));
    expectUnconfirmedReset(1);
    assertThrows(
        IOException.class,
        () -> {
          while (true) { // the write fails once the broker has closed its descriptor
            peer.getOutputStream().write(0);
            Thread.yield();
          }
        });
    assertNothingReleased();
  }

  @Test
  void resetByStoreIsConfirmedEnd() throws Exception {
    FrameTransport transport = transportTo(listener.getLocalPort());
    sendOne(transport);
    peer.setSoLinger(true, 0);
    peer.close();
    Event.AttemptCompleted lost = nextCompletion();
    assertEquals(AttemptOutcome.RESET, lost.outcome());
    assertEquals(false, lost.unconfirmed());
  }

  /**
   * If a partly written call is cancelled, the connection is closed, so that the rest of the call
   * is never written. The earlier call on the connection is lost.
   */
  @Test
  void cancellingPartlyWrittenCallClosesItsConnection() throws Exception {
    FrameTransport transport = withoutLivenessChecks(listener.getLocalPort(), 1);
    sendOne(transport);
    AttemptRequest big =
        new AttemptRequest(2, "big", 0, "", nowUs() + 300_000_500, "x".repeat(BIG_TEXT_LENGTH));
    onLoop(() -> transport.send(List.of(big)));
    assertTrue(peer.getInputStream().read() >= 0); // the first byte of the call was written
    onLoop(() -> transport.cancel(2, true));
    expectUnconfirmedReset(1);
    assertEquals(2, nextRelease());
    long read = 1;
    byte[] chunk = new byte[1 << 16];
    for (int count = 0; count >= 0; count = peer.getInputStream().read(chunk)) {
      read += count;
    }
    assertTrue(read < BIG_TEXT_LENGTH, "the call was completely sent");
    assertNothingReleased();
    peer.close();
    assertEquals(1, nextRelease());
  }
}

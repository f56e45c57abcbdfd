package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which failures of a connection prove that the store has ended the connection too. */
class ConnectionEndTest {
  private final ConnectionEnd end = new ConnectionEnd();

  /**
   * After an error from the kernel or a router, the store may still have the attempts that were
   * sent to it.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {"Connection timed out", "No route to host", "Network is unreachable", "Bad file"})
  void networkErrorDoesNotProveEndAtStore(String message) {
    end.onFailure(new IOException(message));
    assertEquals(false, end.isKnownToStore());
  }

  @ParameterizedTest
  @ValueSource(strings = {"Connection timed out", "No route to host"})
  void networkErrorOfWriteDoesNotProveEndAtStore(String message) {
    end.onWriteFailure(new IOException(message));
    assertEquals(false, end.isKnownToStore());
  }

  @Test
  void endOfStreamAndResetProveEndAtStore() {
    assertEquals(true, end.isKnownToStore());
    end.onFailure(new SocketException("Connection reset"));
    end.onWriteFailure(new IOException("Broken pipe"));
    end.onWriteFailure(new IOException("Connection reset by peer"));
    end.onWriteFailure(new ClosedChannelException()); // a write after the reset was read
    assertEquals(true, end.isKnownToStore());
  }
}

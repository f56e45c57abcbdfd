package dunlinhitch.experiments.testbed;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/**
 * Verifies that no port lies in the ephemeral range, because an outgoing connection may take such a
 * port before the process of the test bed binds it.
 */
class FreePortsTest {
  /** The lowest port of the default ephemeral range of Linux. */
  private static final int LOWEST_EPHEMERAL_PORT = 32_768;

  @Test
  void portsLieBelowThoseOfOutgoingConnections() throws IOException {
    for (int i = 0; i < 50; i++) {
      assertTrue(FreePorts.tcp() < LOWEST_EPHEMERAL_PORT);
      assertTrue(FreePorts.udp() < LOWEST_EPHEMERAL_PORT);
    }
  }

  @Test
  void portInUseIsSkipped() throws IOException {
    int next = FreePorts.tcp() + 1;
    ServerSocket listener = listenUnlessInUse(next);
    try {
      assertNotEquals(next, FreePorts.tcp());
    } finally {
      listener.close();
    }
  }

  /**
   * Listens on a port. Returns an unbound socket if another process already listens on the port:
   * the test only requires that some process does.
   */
  private static ServerSocket listenUnlessInUse(int port) throws IOException {
    ServerSocket listener = new ServerSocket();
    try {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (BindException e) {
      // another process already listens on the port
    }
    return listener;
  }
}

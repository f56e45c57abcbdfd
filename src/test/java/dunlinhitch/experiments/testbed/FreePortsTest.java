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
 * Ports of the test bed can't be taken by an outgoing connection before their process binds them.
 */
class FreePortsTest {
  /** The lowest port that Linux gives to outgoing connections by default. */
  private static final int EPHEMERAL = 32_768;

  @Test
  void portsLieBelowThoseOfOutgoingConnections() throws IOException {
    for (int i = 0; i < 50; i++) {
      assertTrue(FreePorts.tcp() < EPHEMERAL);
      assertTrue(FreePorts.udp() < EPHEMERAL);
    }
  }

  @Test
  void aPortInUseIsPassedOver() throws IOException {
    int next = FreePorts.tcp() + 1;
    ServerSocket listener = listenUnlessInUse(next);
    try {
      assertNotEquals(next, FreePorts.tcp());
    } finally {
      listener.close();
    }
  }

  /** Unbound where another process of the machine listens there, which does as well. */
  private static ServerSocket listenUnlessInUse(int port) throws IOException {
    ServerSocket listener = new ServerSocket();
    try {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (BindException e) {
      // in use already
    }
    return listener;
  }
}

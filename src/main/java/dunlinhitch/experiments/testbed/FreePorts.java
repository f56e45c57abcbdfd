package dunlinhitch.experiments.testbed;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for processes that are started shortly afterwards. The ports lie below the
 * ephemeral port range of the system: an outgoing connection may occupy a free port of that range
 * before the process binds the port.
 *
 * <p>Thread-safe. A process allocates every port of the range once before it repeats a port.
 * Processes with different ids begin at different ports.
 */
public final class FreePorts {
  /** The lowest allocated port. */
  static final int LOWEST = 20_000;

  /** The highest allocated port; the ephemeral range of Linux starts at 32768. */
  static final int HIGHEST = 32_000;

  private static final int COUNT = HIGHEST - LOWEST + 1;

  /**
   * Distance between the first ports of processes with consecutive ids; this distance spreads the
   * processes over the range.
   */
  private static final int PORTS_BETWEEN_PROCESSES = 97;

  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_BETWEEN_PROCESSES % COUNT));

  private FreePorts() {}

  /**
   * Binds an address to test whether its port is free; throws a SocketException if the port is in
   * use.
   */
  private interface Probe {
    void bind(InetSocketAddress address) throws IOException;
  }

  /** Returns a TCP port of the loopback address that is free now. */
  public static int tcp() throws IOException {
    return free(
        address -> {
          try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
          }
        });
  }

  /** Returns a UDP port of the loopback address that is free now. */
  public static int udp() throws IOException {
    return free(address -> new DatagramSocket(address).close());
  }

  private static int free(Probe probe) throws IOException {
    for (int i = 0; i < COUNT; i++) {
      int port = LOWEST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      try {
        probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return port;
      } catch (SocketException e) {
        // the port is in use: tries the next one
      }
    }
    throw new IOException("no free port from " + LOWEST + " to " + HIGHEST);
  }
}

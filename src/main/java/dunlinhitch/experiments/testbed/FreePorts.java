package dunlinhitch.experiments.testbed;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for processes that are started a moment later. They lie below the range from which the
 * system takes the ports of outgoing connections: a port of that range, free when it was looked at,
 * may be in use by the time the process binds it.
 *
 * <p>Thread-safe. Each port is given once by this process; other processes begin elsewhere.
 */
public final class FreePorts {
  /** The lowest port that is given. */
  static final int LOWEST = 20_000;

  /** The highest port that is given; on Linux outgoing connections begin at 32768. */
  static final int HIGHEST = 32_000;

  private static final int COUNT = HIGHEST - LOWEST + 1;

  /** Spreads processes over the range: their ids follow each other. */
  private static final int PORTS_BETWEEN_PROCESSES = 97;

  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_BETWEEN_PROCESSES % COUNT));

  private FreePorts() {}

  /** Whether a port can be bound now; fails with a SocketException where it is in use. */
  private interface Probe {
    void bind(InetSocketAddress address) throws IOException;
  }

  /** A TCP port of the loopback address that nobody listens on now. */
  public static int tcp() throws IOException {
    return free(
        address -> {
          try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
          }
        });
  }

  /** A UDP port of the loopback address that nobody has bound now. */
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
        // in use: the next one
      }
    }
    throw new IOException("no free port from " + LOWEST + " to " + HIGHEST);
  }
}

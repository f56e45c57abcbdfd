import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A TCP relay on loopback whose open connections can be made silent: nothing more passes, nothing ends. */
final class Relay implements AutoCloseable {
  private final ServerSocket server;
  private final int target;
  private volatile long silentBefore;

  Relay(int target) throws IOException {
    this.target = target;
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Silences the connections that are open now. Later ones pass. */
  void silence() {
    silentBefore = System.nanoTime();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket client = server.accept();
        Socket upstream = new Socket(InetAddress.getByName("127.0.0.1"), target);
        long openedAt = System.nanoTime();
        start(() -> pass(client, upstream, openedAt));
        start(() -> pass(upstream, client, openedAt));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void pass(Socket from, Socket to, long openedAt) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] bytes = new byte[8192];
      for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
        if (openedAt < silentBefore) {
          continue;
        }
        out.write(bytes, 0, n);
        out.flush();
      }
    } catch (IOException e) {
      // one side has closed
    }
    if (openedAt >= silentBefore) {
      try {
        from.close();
        to.close();
      } catch (IOException e) {
        // closed already
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}

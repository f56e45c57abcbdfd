package dunlinhitch.experiments.flood;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that writes requests to one connection without a pause, and connects again when its
 * connection ends. Answers are read on a thread of their own, or not at all.
 */
public final class FloodClient implements AutoCloseable {
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final int READ_BYTES = 64 * 1024;

  private final int port;
  private final Trouble trouble;
  private final RequestGrammar grammar;
  private final AtomicLong bytesRead = new AtomicLong();
  private final AtomicLong connections = new AtomicLong();
  private final Thread writer = new Thread(this::writeUntilClosed, "flood");
  private volatile boolean closed;
  private volatile Socket socket;

  /** Creates a client that does not run yet. */
  public FloodClient(int port, Trouble trouble, RequestGrammar grammar) {
    this.port = port;
    this.trouble = trouble;
    this.grammar = grammar;
    writer.setDaemon(true);
  }

  /** Starts to send. */
  public void start() {
    writer.start();
  }

  long bytesRead() {
    return bytesRead.get();
  }

  long connections() {
    return connections.get();
  }

  private void writeUntilClosed() {
    while (!closed) {
      try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket = connection;
        connections.incrementAndGet();
        write(connection);
      } catch (IOException e) {
        Thread.onSpinWait(); // the broker closed the connection: connect again
      }
    }
  }

  private void write(Socket connection) throws IOException {
    if (trouble == Trouble.FLOOD_OF_CONNECTIONS) {
      connection.getOutputStream().write(grammar.next(Trouble.FLOOD_MIXED));
      return;
    }
    if (trouble != Trouble.FLOOD_UNREAD) {
      Thread reader = new Thread(() -> readAll(connection), "flood answers");
      reader.setDaemon(true);
      reader.start();
    }
    while (!closed) {
      ByteArrayOutputStream chunk = new ByteArrayOutputStream();
      while (chunk.size() < CHUNK_BYTES) {
        chunk.writeBytes(grammar.next(trouble));
      }
      chunk.writeTo(connection.getOutputStream());
    }
  }

  private void readAll(Socket connection) {
    byte[] buffer = new byte[READ_BYTES];
    try (connection) {
      InputStream in = connection.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        bytesRead.addAndGet(count);
      }
    } catch (IOException e) {
      // the connection ended; the writer detects it as well
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    Socket current = socket;
    if (current != null) {
      current.close();
    }
  }
}

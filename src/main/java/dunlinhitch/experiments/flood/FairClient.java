package dunlinhitch.experiments.flood;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A client that keeps to the protocol: it sends one query at a time on a connection of its own, and
 * connects again only if the broker has closed the connection.
 */
public final class FairClient {
  /** How a query ended. */
  public enum End {
    SERVED,
    REFUSED,
    FAILED,
    /** Answered after its time. */
    LATE,
    /** Not answered within its time and {@value #PATIENCE_MS} ms. */
    UNANSWERED,
    /** The connection ended without an answer. */
    CLOSED
  }

  /**
   * A query and its end.
   *
   * @param sentUs when it was sent, in microseconds
   * @param latencyUs time to the last byte of its answer, or to its end without one
   */
  public record Outcome(End end, long sentUs, long latencyUs) {}

  static final int PATIENCE_MS = 1_000;
  private static final int INTERVAL_MS = 40;
  private static final long NS_PER_US = 1_000;
  private static final long US_PER_MS = 1_000;
  private static final int OK = 200;
  private static final int REFUSED = 503;

  private final int port;
  private final RequestGrammar grammar;
  private final int timeMs;
  private final Thread thread = new Thread(this::run, "fair");
  private final List<Outcome> outcomes = new ArrayList<>();
  private volatile boolean closed;
  private Socket socket;

  /**
   * Creates a client that does not run yet.
   *
   * @param timeMs time to live of each query
   */
  public FairClient(int port, RequestGrammar grammar, int timeMs) {
    this.port = port;
    this.grammar = grammar;
    this.timeMs = timeMs;
    thread.setDaemon(true);
  }

  /** Starts to send queries. */
  public void start() {
    thread.start();
  }

  private void run() {
    while (!closed) {
      long sentUs = nowUs();
      End end = ask(sentUs);
      outcomes.add(new Outcome(end, sentUs, nowUs() - sentUs));
      if (end == End.CLOSED || end == End.UNANSWERED) {
        disconnect();
      }
      long restMs = INTERVAL_MS - (nowUs() - sentUs) / US_PER_MS;
      if (restMs > 0) {
        sleep(restMs);
      }
    }
    disconnect();
  }

  private static void sleep(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private End ask(long sentUs) {
    try {
      if (socket == null) {
        socket = new Socket();
        socket.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeMs + PATIENCE_MS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeMs + PATIENCE_MS);
      }
      socket.getOutputStream().write(grammar.query(timeMs).getBytes(StandardCharsets.ISO_8859_1));
      int status = HttpResponses.readOne(socket.getInputStream());
      if (nowUs() - sentUs > timeMs * US_PER_MS) {
        return End.LATE;
      }
      return status == OK ? End.SERVED : status == REFUSED ? End.REFUSED : End.FAILED;
    } catch (SocketTimeoutException e) {
      return End.UNANSWERED;
    } catch (IOException e) {
      return End.CLOSED;
    }
  }

  private void disconnect() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // the connection is gone either way
    }
    socket = null;
  }

  private static long nowUs() {
    return System.nanoTime() / NS_PER_US;
  }

  /** Ends the client and returns how its queries ended. */
  public List<Outcome> end() throws InterruptedException {
    closed = true;
    thread.join();
    return outcomes;
  }

  /** Reads responses that have a Content-Length. */
  static final class HttpResponses {
    private HttpResponses() {}

    /** Reads one response and returns its status. */
    static int readOne(InputStream in) throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("the connection ended in the head of a response");
        }
        head.append((char) next);
      }
      String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
      int at = lower.indexOf("content-length: ") + "content-length: ".length();
      int length = Integer.parseInt(lower.substring(at, lower.indexOf('\r', at)).trim());
      if (in.readNBytes(length).length < length) {
        throw new IOException("the connection ended in the body of a response");
      }
      return Integer.parseInt(lower.substring("http/1.1 ".length(), "http/1.1 ".length() + 3));
    }
  }
}

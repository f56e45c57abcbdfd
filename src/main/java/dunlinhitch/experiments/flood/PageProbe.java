package dunlinhitch.experiments.flood;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Asks for the pages of a broker that monitoring uses, each time on a new connection, and records
 * the longest time to an answer.
 */
final class PageProbe {
  /** A page of the broker. */
  record Page(int port, String path) {}

  private static final int INTERVAL_MS = 100;
  private static final int PATIENCE_MS = 1_500;
  private static final long NS_PER_MS = 1_000_000;

  private final List<Page> pages;
  private final Thread thread = new Thread(this::run, "pages");
  private volatile boolean closed;
  private long longestMs;

  PageProbe(List<Page> pages) {
    this.pages = pages;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void run() {
    while (!closed) {
      for (Page page : pages) {
        longestMs = Math.max(longestMs, ask(page));
      }
      try {
        Thread.sleep(INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Returns the milliseconds to the answer, or the full patience if there was none. */
  private static long ask(Page page) {
    long startNs = System.nanoTime();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), page.port())) {
      socket.setSoTimeout(PATIENCE_MS);
      String request = "GET " + page.path() + " HTTP/1.1\r\nHost: x\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      FairClient.HttpResponses.readOne(socket.getInputStream());
      return (System.nanoTime() - startNs) / NS_PER_MS;
    } catch (IOException e) {
      return PATIENCE_MS;
    }
  }

  /** Ends the probe and returns the longest time to an answer, in milliseconds. */
  long end() throws InterruptedException {
    closed = true;
    thread.join();
    return longestMs;
  }
}

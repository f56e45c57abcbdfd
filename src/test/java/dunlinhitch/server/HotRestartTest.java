package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store.Behavior;
import dunlinhitch.experiments.fakes.Store.ReceivedPart;
import dunlinhitch.frontend.http.ClientListener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Hot restart: two processes of one broker on one listening socket, the old one shutting down. */
class HotRestartTest {
  /** The folder that the processes share. */
  @TempDir Path folder;

  private static ServerSocketChannel listen() throws IOException {
    return ServerSocketChannel.open()
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private BrokerFixture fixture(ServerSocketChannel listener) throws Exception {
    return fixture(listener, part -> Behavior.GOOD);
  }

  private BrokerFixture fixture(
      ServerSocketChannel listener, Function<ReceivedPart, Behavior> script) throws Exception {
    BrokerFixture fixture = new BrokerFixture(new ClientListener(listener));
    fixture.scratchDirectory = folder;
    FrameStore first = new FrameStore(fixture.vertx, "a");
    FrameStore second = new FrameStore(fixture.vertx, "b");
    first.script = script;
    second.script = script;
    fixture.publishStores(first, second);
    fixture.start(BrokerFixture.settings(100), null);
    return fixture;
  }

  private static void ask(Socket socket, String id) throws IOException {
    String body = Client.body(0);
    socket
        .getOutputStream()
        .write(
            ("POST /free-search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: "
                    + id
                    + "\r\nX-Expires-In: 1.0\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length
                    + "\r\n\r\n"
                    + body)
                .getBytes(StandardCharsets.UTF_8));
  }

  private static String answer(Socket socket) throws IOException {
    socket.setSoTimeout(5_000);
    byte[] bytes = new byte[4096];
    String read = "";
    while (!read.contains("}")) {
      int count = socket.getInputStream().read(bytes);
      assertTrue(count > 0, "closed after: " + read);
      read += new String(bytes, 0, count, StandardCharsets.UTF_8);
    }
    return read;
  }

  /** Waits for a round trip through the event loop of a broker. */
  private static void awaitLoop(BrokerFixture broker) throws Exception {
    broker
        .vertx
        .executeBlocking(() -> null)
        .toCompletionStage()
        .toCompletableFuture()
        .get(5, TimeUnit.SECONDS);
  }

  /** Guards against an id that is executed once by each process of a hot restart. */
  @Test
  void anIdThatTheOldProcessExecutedIsNotExecutedByTheNewOne() throws Exception {
    try (ServerSocketChannel listener = listen()) {
      BrokerFixture old = fixture(listener);
      try (Socket client = new Socket(InetAddress.getLoopbackAddress(), old.httpPort)) {
        ask(client, "q0");
        answer(client);
      }
      BrokerFixture next = fixture(listener);
      CompletableFuture<Void> ended = old.stop();
      awaitLoop(old);
      try {
        expectStatus(next, "q0", 503);
      } finally {
        ended.get(8, TimeUnit.SECONDS);
        old.close();
        next.close();
      }
    }
  }

  /** Guards against a second run of an open query, by the other process of a hot restart. */
  @Test
  void anIdThatIsOpenInOneProcessIsNotExecutedByTheOther() throws Exception {
    try (ServerSocketChannel listener = listen()) {
      CountDownLatch received = new CountDownLatch(1);
      BrokerFixture old =
          fixture(
              listener,
              part -> {
                received.countDown();
                return Behavior.NOTHING;
              });
      try (Socket client = new Socket(InetAddress.getLoopbackAddress(), old.httpPort)) {
        ask(client, "q0");
        assertTrue(received.await(5, TimeUnit.SECONDS));
        BrokerFixture next = fixture(listener);
        CompletableFuture<Void> ended = old.stop();
        awaitLoop(old);
        expectStatus(next, "q0", 503);
        expectStatus(next, "q1", 200);
        assertEquals(1, next.counter("queries_repeated"));
        ended.get(8, TimeUnit.SECONDS);
        old.close();
        next.close();
      }
    }
  }

  /**
   * Guards against an id that is executed again by a process that starts after the one that has
   * executed it was killed.
   */
  @Test
  void anIdThatAKilledProcessExecutedIsNotExecutedByALaterOne() throws Exception {
    try (ServerSocketChannel listener = listen()) {
      BrokerFixture killed = fixture(listener);
      expectStatus(killed, "q0", 200);
      killed.vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
      BrokerFixture later = fixture(listener);
      expectStatus(later, "q0", 503);
      expectStatus(later, "q1", 200);
      later.close();
    }
  }

  private static void expectStatus(BrokerFixture broker, String id, int expected)
      throws IOException {
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), broker.httpPort)) {
      ask(client, id);
      client.setSoTimeout(5_000);
      String expectedLine = "HTTP/1.1 " + expected;
      byte[] status = client.getInputStream().readNBytes(expectedLine.length());
      assertEquals(expectedLine, new String(status, StandardCharsets.UTF_8));
    }
  }

  /**
   * Clients that connect after the old process was asked to stop are accepted by the new one.
   * Clients of the old process are served by it, and the response closes their connection. The
   * listening socket stays open, because neither process owns it.
   */
  @Test
  void newClientsConnectToNewProcessAndOldOnesAreServed() throws Exception {
    try (ServerSocketChannel listener = listen()) {
      int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
      BrokerFixture old = fixture(listener);
      assertEquals(port, old.httpPort);
      try (Socket connected = new Socket(InetAddress.getLoopbackAddress(), port)) {
        ask(connected, "q0");
        assertFalse(answer(connected).toLowerCase(Locale.ROOT).contains("connection: close"));
        BrokerFixture next = fixture(listener);
        CompletableFuture<Void> ended = old.stop();
        awaitLoop(old);
        for (int i = 1; i <= 20; i++) {
          try (Socket fresh = new Socket(InetAddress.getLoopbackAddress(), port)) {
            ask(fresh, "q" + i);
            answer(fresh);
          }
        }
        assertEquals(20, next.counter("queries_taken"));
        ask(connected, "q21");
        assertTrue(answer(connected).toLowerCase(Locale.ROOT).contains("connection: close"));
        assertEquals(-1, connected.getInputStream().read());
        assertEquals(2, old.counter("queries_taken"));
        ended.get(8, TimeUnit.SECONDS);
        old.close();
        try (Socket fresh = new Socket(InetAddress.getLoopbackAddress(), port)) {
          ask(fresh, "q22");
          answer(fresh);
        }
        next.close();
      }
      assertTrue(listener.isOpen());
    }
  }
}

package dunlinhitch.frontend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.core.Event;
import dunlinhitch.core.QueryResponse;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Stage;
import dunlinhitch.frontend.Exchanges;
import dunlinhitch.frontend.QueryReader;
import io.netty.channel.EventLoopGroup;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.VertxInternal;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The front alone, on a clock that the test moves: moments in which a timer and a client's bytes
 * cross.
 */
class HttpFrontOnAClockTest {
  private final AtomicLong now = new AtomicLong(1);
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final Exchanges exchanges = new Exchanges(events::add);
  private Vertx vertx;
  private HttpFrontend front;
  private int port;

  @BeforeEach
  void begin() throws Exception {
    ClientListener listener = new ClientListener(null);
    vertx =
        Vertx.builder()
            .withTransport(listener)
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    io.vertx.core.Context context = vertx.getOrCreateContext();
    java.util.concurrent.CompletableFuture<Integer> bound =
        new java.util.concurrent.CompletableFuture<>();
    context.runOnContext(
        v -> {
          front =
              new HttpFrontend(
                  vertx,
                  exchanges,
                  new QueryReader(() -> Stage.settings(300)),
                  events::add,
                  now::get,
                  () -> 20,
                  () -> true,
                  () -> "",
                  listener,
                  24);
          front
              .listen("127.0.0.1", 0)
              .onSuccess(bound::complete)
              .onFailure(bound::completeExceptionally);
        });
    port = bound.get(5, TimeUnit.SECONDS);
  }

  @AfterEach
  void end() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(5_000);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String post(String id) {
    String body = Client.body(1);
    return "POST /free-search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: "
        + id
        + "\r\nX-Expires-In: 1.000\r\nContent-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  /**
   * Up to the end of the headers and what the length says behind it; what else was read already is
   * lost.
   */
  private static String answer(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      text.append((char) in.read());
    }
    String head = text.toString().toLowerCase(java.util.Locale.ROOT);
    int at = head.indexOf("content-length: ") + 16;
    return text
        + new String(
            in.readNBytes(Integer.parseInt(head.substring(at, head.indexOf('\r', at)))),
            StandardCharsets.UTF_8);
  }

  private interface Step {
    void run() throws Exception;
  }

  /**
   * While the loop stands still the client does something, then time passes and the front looks for
   * what is overdue, before it reads.
   */
  private void atOnce(Step client, long laterUs, Step loop) throws Exception {
    CountDownLatch still = new CountDownLatch(1);
    CountDownLatch done = new CountDownLatch(1);
    CountDownLatch looked = new CountDownLatch(1);
    vertx.runOnContext(
        v -> {
          still.countDown();
          try {
            done.await();
            now.addAndGet(laterUs);
            loop.run();
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
          looked.countDown();
        });
    assertTrue(still.await(5, TimeUnit.SECONDS));
    client.run();
    done.countDown();
    assertTrue(looked.await(5, TimeUnit.SECONDS));
  }

  /**
   * A request that has come in the instant in which its connection was idle for too long, silent
   * for too long, or drained.
   */
  @Test
  void aRequestThatCrossesATimerIsServed() throws Exception {
    try (Socket idle = connect();
        Socket silent = connect();
        Socket rests = connect()) {
      for (Socket socket : List.of(idle, rests)) {
        write(socket, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n");
        assertTrue(answer(socket).endsWith("live\n"));
      }
      atOnce(
          () -> {
            write(idle, post("a"));
            write(silent, post("b"));
          },
          6_000_000,
          front::look);
      assertTrue(
          events.stream()
              .noneMatch(
                  e ->
                      e instanceof Event.ConditionCounted noted
                          && noted.what() == dunlinhitch.core.Counter.CLIENTS_SLOW));
      assertEquals(
          -1, rests.getInputStream().read(), "it had been idle for as long and was asked nothing");
      for (int i = 1; i <= 2; i++) {
        long exchange = i;
        vertx.runOnContext(v -> exchanges.reply(exchange, new QueryResponse.Rejected(0)));
      }
      assertTrue(
          answer(idle).startsWith("HTTP/1.1 503 ") && answer(silent).startsWith("HTTP/1.1 503 "));
      atOnce(() -> write(idle, post("c")), 0, front::drain);
      vertx.runOnContext(v -> exchanges.reply(3, new QueryResponse.Rejected(0)));
      String last = answer(idle);
      assertTrue(last.startsWith("HTTP/1.1 503 ") && last.contains("close"), last);
      assertEquals(-1, idle.getInputStream().read());
    }
  }

  /** It would hold its connection, and what it was to be told, for ever. */
  @Test
  void aReaderThatNeverTakesItsAnswerIsCut() throws Exception {
    String large = "x".repeat(32 << 20);
    try (Socket socket = connect()) {
      write(socket, post("a"));
      while (!(events.poll(5, TimeUnit.SECONDS) instanceof Event.QueryReceived)) {
        assertTrue(socket.isConnected());
      }
      atOnce(
          () -> {},
          0,
          () ->
              exchanges.reply(
                  1,
                  new QueryResponse.Served(true, List.of(new QueryResponse.PartValue(1, large)))));
      atOnce(() -> {}, 6_000_000, front::look);
      long got = 0;
      try {
        byte[] some = new byte[1 << 16];
        for (int n = socket.getInputStream().read(some);
            n >= 0;
            n = socket.getInputStream().read(some)) {
          got += n;
        }
      } catch (java.net.SocketException reset) { // as good
      }
      assertTrue(got < large.length(), "all of it was still there");
    }
  }

  /**
   * A client goes on writing when its answer has come: it reads the end of it, and nothing is reset
   * under it.
   */
  @Test
  void anyCloseLingersAndWhatComesBehindItIsNeverTaken() throws Exception {
    for (String asks :
        List.of(
            "GET /health/live HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            "GET /health/live HTTP/1.0\r\n\r\n",
            "nonsense\r\n\r\n",
            "POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n")) {
      try (Socket socket = connect()) {
        write(socket, asks);
        answer(socket);
        assertEquals(-1, socket.getInputStream().read(), "it says that no more comes");
        for (int i = 0; i < 50; i++) {
          write(socket, post("behind"));
          Thread.yield();
        }
      }
    }
    assertTrue(events.stream().noneMatch(e -> e instanceof Event.QueryReceived), events.toString());
  }

  /**
   * Vert.x goes on to the next request in the turn in which an answer is ended: it is served,
   * unless that answer said that it is the last.
   */
  @Test
  void whatIsPipelinedIsTakenUnlessItIsBehindTheLastAnswer() throws Exception {
    try (Socket socket = connect()) {
      write(socket, post("a") + post("b") + post("c"));
      for (int i = 0; i < 3; i++) {
        Event.QueryReceived taken = (Event.QueryReceived) events.poll(5, TimeUnit.SECONDS);
        assertEquals("abc".substring(i, i + 1), taken.ask().id());
        vertx.runOnContext(v -> exchanges.reply(taken.exchange(), new QueryResponse.Rejected(0)));
        assertTrue(answer(socket).startsWith("HTTP/1.1 503 "));
      }
    }
    atOnce(() -> {}, 0, front::drain);
    try (Socket socket = connect()) {
      write(socket, post("a") + post("b"));
      Event.QueryReceived taken = (Event.QueryReceived) events.poll(5, TimeUnit.SECONDS);
      atOnce(() -> {}, 0, () -> exchanges.reply(taken.exchange(), new QueryResponse.Rejected(0)));
      assertTrue(answer(socket).startsWith("HTTP/1.1 503 "));
      assertEquals(-1, socket.getInputStream().read(), "one answer");
    }
    assertTrue(events.isEmpty(), events.toString());
  }

  /**
   * A part of a request that came behind another has begun when that one is answered: the drain
   * leaves it, and the rest of it is waited for.
   */
  @Test
  void whatHasBegunBehindAnAnswerIsNoRest() throws Exception {
    try (Socket socket = connect()) {
      String next = post("b");
      write(socket, post("a") + next.substring(0, 30));
      Event.QueryReceived taken = (Event.QueryReceived) events.poll(5, TimeUnit.SECONDS);
      atOnce(() -> {}, 0, () -> exchanges.reply(taken.exchange(), new QueryResponse.Rejected(0)));
      assertTrue(answer(socket).startsWith("HTTP/1.1 503 "));
      atOnce(() -> {}, 200_000, front::drain);
      write(socket, next.substring(30));
      assertTrue(events.poll(5, TimeUnit.SECONDS) instanceof Event.QueryReceived, "it is closed");
    }
  }

  /**
   * Clients whom the system has connected while the thread that accepts was behind: they are let in
   * and told, and then the listener closes.
   */
  @Test
  void whoeverWaitsInTheQueueOfTheListenerIsLetInAndTold() throws Exception {
    EventLoopGroup acceptor = ((VertxInternal) vertx).acceptorEventLoopGroup();
    CountDownLatch behind = new CountDownLatch(1);
    CountDownLatch goOn = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    CountDownLatch over = new CountDownLatch(1);
    acceptor.execute(
        () -> {
          behind.countDown();
          try {
            goOn.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    behind.await();
    List<Socket> queue = new ArrayList<>();
    for (int i = 0; i < 18; i++) { // more than Netty accepts in one go
      queue.add(connect());
      write(queue.get(i), post("q" + i));
    }
    atOnce(() -> {}, 0, () -> front.close(Long.MAX_VALUE / 2).onComplete(v -> over.countDown()));
    acceptor.execute(closed::countDown);
    atOnce(
        () -> {
          goOn.countDown();
          closed.await();
        },
        0,
        () -> {});
    for (Socket socket : queue) {
      assertTrue(answer(socket).startsWith("HTTP/1.1 503 "));
      assertEquals(-1, socket.getInputStream().read());
      socket.close();
    }
    assertTrue(over.await(5, TimeUnit.SECONDS));
    assertTrue(events.stream().noneMatch(e -> e instanceof Event.QueryReceived), events.toString());
  }

  /**
   * The end of the stream or a reset within a body: nothing is taken. A half-close behind a whole
   * request: the client has left.
   */
  @Test
  void whoEndsWithinItsRequestAsksNothingAndAHalfCloseIsAnEnd() throws Exception {
    String chunked =
        post("a")
            .replaceAll("Content-Length: [0-9]+", "Transfer-Encoding: chunked")
            .replaceAll("(?s)\r\n\r\n.*", "\r\n\r\n");
    for (String part :
        List.of(
            post("a").substring(0, post("a").length() - 5),
            chunked + "5\r\n{\"ran",
            chunked + "1\r\n{\r\n0\r\n")) {
      for (boolean reset : List.of(false, true)) {
        try (Socket socket = connect()) {
          write(socket, part);
          atOnce(() -> {}, 0, () -> {}); // it is read
          socket.setSoLinger(reset, 0);
        }
      }
    }
    try (Socket socket = connect()) {
      write(socket, post("b"));
      Event taken = events.poll(5, TimeUnit.SECONDS);
      while (taken instanceof Event.ConditionCounted) {
        taken = events.poll(5, TimeUnit.SECONDS);
      }
      assertEquals("b", ((Event.QueryReceived) taken).ask().id());
      socket.shutdownOutput();
      assertEquals(-1, socket.getInputStream().read());
      assertTrue(events.poll(5, TimeUnit.SECONDS) instanceof Event.ClientDisconnected);
    }
    assertTrue(events.stream().noneMatch(e -> e instanceof Event.QueryReceived), events.toString());
  }

  /** Where descriptors are short a connection that only lingers goes, the oldest first. */
  @Test
  void theOldestThatLingersMakesRoom() throws Exception {
    List<Socket> lingering = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      lingering.add(connect());
      write(lingering.get(i), "GET /health/live HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      answer(lingering.get(i));
      assertEquals(-1, lingering.get(i).getInputStream().read());
    }
    org.junit.jupiter.api.Assertions.assertThrows(
        IOException.class,
        () -> {
          for (int i = 0; i < 100; i++) {
            write(lingering.get(0), "x");
            Thread.yield();
          }
        });
    for (Socket socket : lingering) {
      socket.close();
    }
  }

  /** Who takes nothing of its answer holds the end of the front up to its time, and no longer. */
  @Test
  void theFrontIsOverAtItsTimeThoughAClientReadsNothing() throws Exception {
    CountDownLatch over = new CountDownLatch(1);
    try (Socket socket = connect()) {
      write(socket, post("a"));
      assertTrue(events.poll(5, TimeUnit.SECONDS) instanceof Event.QueryReceived);
      atOnce(
          () -> {},
          0,
          () ->
              exchanges.reply(
                  1,
                  new QueryResponse.Served(
                      true, List.of(new QueryResponse.PartValue(1, "x".repeat(32 << 20))))));
      atOnce(
          () -> {}, 0, () -> front.close(now.get() + 1_000_000).onComplete(v -> over.countDown()));
      while (over.getCount() > 0) {
        try (Socket next =
            new Socket("127.0.0.1", port)) { // it is let in or refused, but the listener closes
          assertTrue(next.isConnected());
        } catch (java.net.ConnectException closed) {
          break;
        }
      }
      assertEquals(1, over.getCount(), "nothing holds it up");
      atOnce(() -> {}, 1_000_000, () -> {});
      assertTrue(over.await(5, TimeUnit.SECONDS));
    }
  }

  /** More than any client has to say: it is not read for ever. */
  @Test
  void whatIsDiscardedIsBounded() throws Exception {
    try (Socket socket = connect()) {
      write(socket, "nonsense\r\n\r\n");
      answer(socket);
      org.junit.jupiter.api.Assertions.assertThrows(
          IOException.class,
          () -> {
            for (int i = 0; i < 4_000; i++) {
              write(socket, "x".repeat(64 * 1024));
            }
          });
    }
  }
}

package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.internal.VertxInternal;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost responses: without TCP_NODELAY the system delays small writes. If the socket
 * is then closed while it has unread received bytes, the connection is reset and the delayed writes
 * are lost.
 */
class NoDelayTest {
  /** Returns TCP_NODELAY of each socket of the event loop, by its local and its remote port. */
  private static Map<Integer, Boolean> noDelayByPort(BrokerFixture fixture) throws Exception {
    CompletableFuture<Map<Integer, Boolean>> result = new CompletableFuture<>();
    Object loop = ((VertxInternal) fixture.vertx).nettyEventLoopGroup().iterator().next();
    Field handler =
        Class.forName("io.netty.channel.SingleThreadIoEventLoop").getDeclaredField("ioHandler");
    handler.setAccessible(true);
    Method registered = handler.get(loop).getClass().getDeclaredMethod("registeredSet");
    registered.setAccessible(true);
    fixture.vertx.runOnContext(
        v -> {
          Map<Integer, Boolean> all = new TreeMap<>();
          try {
            for (Object key : (Set<?>) registered.invoke(handler.get(loop))) {
              if (((SelectionKey) key).channel() instanceof SocketChannel socket
                  && socket.isConnected()) {
                boolean noDelay = socket.getOption(StandardSocketOptions.TCP_NODELAY);
                all.merge(
                    ((InetSocketAddress) socket.getLocalAddress()).getPort(),
                    noDelay,
                    Boolean::logicalAnd);
                all.merge(
                    ((InetSocketAddress) socket.getRemoteAddress()).getPort(),
                    noDelay,
                    Boolean::logicalAnd);
              }
            }
            result.complete(all);
          } catch (ReflectiveOperationException | java.io.IOException e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(10, TimeUnit.SECONDS);
  }

  @Test
  void everySocketOfTheBrokerHasTcpNoDelay() throws Exception {
    BrokerFixture fixture = new BrokerFixture();
    FrameStore store = new FrameStore(fixture.vertx, "s-0");
    try {
      fixture.publishStores(store);
      fixture.start(BrokerFixture.settings(300), null);
      Client client = Client.http(fixture.httpPort);
      while (fixture.counter("attempts_written") == 0) {
        client
            .send("free-search", Map.of("X-Trace-Id", "q", "X-Expires-In", "1"), Client.body(0))
            .get(10, TimeUnit.SECONDS);
      }
      try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), fixture.adminPort)) {
        Map<Integer, Boolean> all = noDelayByPort(fixture);
        while (!all.containsKey(operator.getPort())) { // the accept runs on another thread
          all = noDelayByPort(fixture);
        }
        for (Map.Entry<String, Integer> port :
            Map.of(
                    "clients",
                    fixture.httpPort,
                    "operators",
                    fixture.adminPort,
                    "the store",
                    store.port(),
                    "discovery",
                    fixture.discovery.port())
                .entrySet()) {
          assertEquals(true, all.get(port.getValue()), port.getKey());
        }
      }
    } finally {
      store.close();
      fixture.close();
    }
  }
}

package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.experiments.fakes.BrokerFixture;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Warm-up of a broker that has no file descriptor left. */
class WarmUpTest {
  /**
   * Emulates a lack of file descriptors: the system establishes connections, but the broker never
   * accepts them.
   */
  private static final class NonAcceptingTransport extends CustomTransport {
    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
      return () ->
          new NioServerSocketChannel() {
            @Override
            protected int doReadMessages(List<Object> accepted) {
              config().setAutoRead(false);
              return 0;
            }
          };
    }
  }

  /** The warm-up ends by its own deadline, so that the start continues. */
  @Test
  void doesNotWaitForQueriesThatAreNeverAnswered() throws Exception {
    Vertx vertx =
        Vertx.builder()
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .withTransport(new NonAcceptingTransport())
            .build();
    try {
      Context context = vertx.getOrCreateContext();
      CompletableFuture<Integer> served = new CompletableFuture<>();
      context.runOnContext(
          v ->
              new WarmUp(vertx, context, BrokerFixture.settings(40), "127.0.0.1", 20, 0)
                  .run()
                  .onSuccess(served::complete)
                  .onFailure(served::completeExceptionally));
      assertEquals(0, served.get(20, TimeUnit.SECONDS));
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }
}

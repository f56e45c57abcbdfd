package dunlinhitch.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.transport.Transport;

/** Creates the Vert.x instance of a broker process, with one event loop and one worker thread. */
final class EventLoop {
  private EventLoop() {}

  static Vertx create(Transport transport) {
    return Vertx.builder()
        .withTransport(transport)
        .with(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                    new FileSystemOptions()
                        .setClassPathResolvingEnabled(false)
                        .setFileCachingEnabled(false)))
        .build();
  }
}

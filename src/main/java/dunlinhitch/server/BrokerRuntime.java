package dunlinhitch.server;

import dunlinhitch.config.Config;
import dunlinhitch.core.MicroClock;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.function.Consumer;

/**
 * Objects that the parts of one broker share.
 *
 * @param vertx owner of the event loop, timers and sockets
 * @param context the event loop on which the broker runs
 * @param config the configuration that the broker was started with
 * @param clock monotonic clock in microseconds
 * @param log receives the log lines for operators, one per call
 */
record BrokerRuntime(
    Vertx vertx, Context context, Config config, MicroClock clock, Consumer<String> log) {}

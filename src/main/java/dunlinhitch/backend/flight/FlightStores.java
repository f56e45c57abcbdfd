package dunlinhitch.backend.flight;

import dunlinhitch.backend.BackendTransport;
import dunlinhitch.backend.LoadReportParser;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.core.Event;
import dunlinhitch.endpoints.Endpoint;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;

/**
 * What all Flight transports share: bounded threads that read streams, bounded buffers, and the way
 * to the loop.
 */
public final class FlightStores {
  static final int MOST_MESSAGE_BYTES = 256 * 1024;

  /** Attempts that may be out to one store. */
  static final int MOST_OUT = 256;

  /** Of the time after which a store closes an idle connection. */
  static final double IDLE_SHARE = 0.8;

  /** A wait of so long without a word is more than a busy store's. */
  static final long SILENT_US = 1_000_000;

  /**
   * As on frames: of the connect time, quiet for the first part a channel is asked, and answers
   * within the second.
   */
  static final int QUIET_PART = 3;

  static final int ANSWER_PART = 2;
  private static final int READERS = 64;
  private static final int ACTORS = 2;
  private static final int MOST_ACTIONS = 512;
  private static final long BUFFER_BYTES = 32L << 20;
  private static final int STACK_BYTES = 256 * 1024;
  private final Vertx vertx;
  private final Context context;
  private final Supplier<Limits> limits;
  private final LoadReportParser reports;
  private final LongSupplier clock;
  private final Consumer<Event> events;
  private final BufferAllocator allocator = new RootAllocator(BUFFER_BYTES);
  private final ExecutorService readers =
      new ThreadPoolExecutor(
          0, READERS, 10, TimeUnit.SECONDS, new SynchronousQueue<>(), threads("flight-reader"));
  private final ThreadPoolExecutor actions =
      new ThreadPoolExecutor(
          ACTORS,
          ACTORS,
          10,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(MOST_ACTIONS),
          threads("flight-action"));
  private final ThreadPoolExecutor callbacks =
      new ThreadPoolExecutor(
          1, 1, 10, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), threads("flight-callback"));

  public FlightStores(
      Vertx vertx,
      Context context,
      Supplier<Limits> limits,
      LoadReportParser reports,
      LongSupplier clock,
      Consumer<Event> events) {
    this.vertx = vertx;
    this.context = context;
    this.limits = limits;
    this.reports = reports;
    this.clock = clock;
    this.events = events;
    actions.allowCoreThreadTimeOut(true);
    callbacks.allowCoreThreadTimeOut(true);
  }

  private static ThreadFactory threads(String name) {
    return task -> {
      Thread thread = new Thread(null, task, name, STACK_BYTES);
      thread.setDaemon(true);
      return thread;
    };
  }

  public BackendTransport open(Endpoint entry) {
    return new FlightTransport(this, entry);
  }

  /** Ends the threads; the transports are closed before. */
  public void close() {
    callbacks.execute(
        () -> {
          try {
            allocator.close();
          } catch (IllegalStateException e) {
            // a client that is still being closed holds a part of it; the process is at its end
          }
        });
    readers.shutdown();
    actions.shutdown();
    callbacks.shutdown();
  }

  /** Closing a client waits for its streams, so it is done off the loop. */
  void closeLater(FlightClient client) {
    try {
      actions.execute(
          () -> {
            try {
              client.close();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            } catch (IllegalStateException e) {
              // a stream that is still being read holds a buffer; it is freed when that reader ends
            }
          });
    } catch (RejectedExecutionException e) {
      // its channel is shut already; only an empty allocator is left
    }
  }

  void onLoop(Runnable task) {
    try {
      context.runOnContext(v -> task.run());
    } catch (RejectedExecutionException e) {
      // the loop has ended, and nobody waits for this any more
    }
  }

  long nowUs() {
    return clock.getAsLong();
  }

  Vertx vertx() {
    return vertx;
  }

  Limits limits() {
    return limits.get();
  }

  LoadReportParser reports() {
    return reports;
  }

  Consumer<Event> events() {
    return events;
  }

  BufferAllocator allocator() {
    return allocator;
  }

  ExecutorService readers() {
    return readers;
  }

  ExecutorService actions() {
    return actions;
  }

  ExecutorService callbacks() {
    return callbacks;
  }
}

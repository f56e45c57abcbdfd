package dunlinhitch.backend.flight;

import dunlinhitch.backend.BackendTransport;
import dunlinhitch.backend.LoadReportParser;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.concurrent.Faults;
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
 * Creates Flight transports and holds the resources that they share: bounded thread pools for
 * blocking calls, bounded buffers, and the transfer of results to the event loop. Thread-safe
 * except for {@link #close}, which the event loop calls once.
 */
public final class FlightTransports {
  /** Number of threads that read streams, which also bounds the concurrent calls to all stores. */
  private static final int READER_THREADS = 64;

  private static final int ACTION_THREADS = 2;
  private static final int MAX_QUEUED_ACTIONS = 512;
  private static final int IDLE_THREAD_SECONDS = 10;
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
          0,
          READER_THREADS,
          IDLE_THREAD_SECONDS,
          TimeUnit.SECONDS,
          new SynchronousQueue<>(),
          threadFactory("flight-reader"));
  private final ThreadPoolExecutor actions =
      new ThreadPoolExecutor(
          ACTION_THREADS,
          ACTION_THREADS,
          IDLE_THREAD_SECONDS,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(MAX_QUEUED_ACTIONS),
          threadFactory("flight-action"));
  private final ThreadPoolExecutor callbacks =
      new ThreadPoolExecutor(
          1,
          1,
          IDLE_THREAD_SECONDS,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(),
          threadFactory("flight-callback"));

  /**
   * Creates the shared resources; threads start on demand.
   *
   * @param context the event loop on which events are reported
   * @param clock microseconds; called from any thread
   */
  public FlightTransports(
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

  private static ThreadFactory threadFactory(String name) {
    return task -> {
      Thread thread = new Thread(null, task, name, STACK_BYTES);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Opens the transport to a store; it connects on demand. */
  public BackendTransport open(Endpoint endpoint) {
    return new FlightTransport(this, endpoint);
  }

  /** Frees the buffers and ends the threads; the transports must already be closed. */
  public void close() {
    callbacks.execute(
        () -> {
          try {
            allocator.close();
          } catch (IllegalStateException e) {
            // a client that is still closing holds buffers; they are freed when the process ends
          }
        });
    readers.shutdown();
    actions.shutdown();
    callbacks.shutdown();
  }

  /** Closes a client off the event loop, because closing waits for its streams. */
  void closeAsync(FlightClient client) {
    try {
      actions.execute(
          () -> {
            try {
              client.close();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            } catch (IllegalStateException e) {
              // the buffer of a stream that is still being read is freed when its reader ends
            }
          });
    } catch (RejectedExecutionException e) {
      // the client's channel is already shut down; only its empty allocator stays open
    }
  }

  /** Runs the task on the event loop, or not at all if the loop has ended. */
  void onLoop(Runnable task) {
    try {
      context.runOnContext(ignored -> task.run());
    } catch (RejectedExecutionException e) {
      // the event loop has ended, so nothing waits for the result
    }
  }

  /** Reports an exception that was caught on a reader or action thread. */
  void reportFault(Throwable fault) {
    Faults.report(this::onLoop, fault);
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

  /** Threads for calls; rejects a task when all are busy. */
  ExecutorService readers() {
    return readers;
  }

  /** Threads for actions; rejects a task when the queue is full. */
  ExecutorService actions() {
    return actions;
  }

  /** The thread on which channels report state changes. */
  ExecutorService callbacks() {
    return callbacks;
  }
}

package dunlinhitch.concurrent;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.jetbrains.lincheck.LincheckAssertionError;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.Validate;
import org.junit.jupiter.api.Test;

/**
 * Checks that each class is linearizable under interleavings of two threads, with Lincheck's model
 * checker. For each class, the test also checks an incorrect variant with a typical mistake, which
 * the model checker must find.
 */
class HandOffTest {
  private static void check(Class<?> structure) {
    new ModelCheckingOptions()
        .threads(2)
        .actorsPerThread(2)
        .actorsBefore(0)
        .actorsAfter(1)
        .iterations(10)
        .invocationsPerIteration(100)
        .check(structure);
  }

  private static void checkFails(Class<?> structure) {
    assertThrows(LincheckAssertionError.class, () -> check(structure));
  }

  /** Operations on a {@link SnapshotReference}. */
  @Param(name = "version", gen = IntGen.class, conf = "1:3")
  public static class SnapshotReferenceCalls {
    private final SnapshotReference<Integer> reference = new SnapshotReference<>(0);

    @Operation
    public long publish(@Param(name = "version") int value) {
      return reference.publish(value);
    }

    @Operation
    public boolean publishIfNewer(@Param(name = "version") int version) {
      return reference.publishIfNewer(version, -version);
    }

    @Operation
    public String latest() {
      return reference.latest().toString();
    }
  }

  @Test
  void snapshotReferenceIsLinearizable() {
    check(SnapshotReferenceCalls.class);
  }

  /**
   * Incorrect variant (lost update): two threads can read the same version and both write the next
   * one.
   */
  // The suppressed warning is the mistake that the model checker must find.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  public static class PublishWithLostUpdate {
    private volatile long version;

    @Operation
    public long publish() {
      version = version + 1;
      return version;
    }
  }

  /** Incorrect variant (check, then set): an older version can replace a newer one. */
  @Param(name = "version", gen = IntGen.class, conf = "1:3")
  public static class PublishWithCheckThenSet {
    private volatile int latest;

    @Operation
    public boolean publishIfNewer(@Param(name = "version") int version) {
      if (latest >= version) {
        return false;
      }
      latest = version;
      return true;
    }

    @Operation
    public int latest() {
      return latest;
    }
  }

  @Test
  void findsLostUpdateAndOlderSnapshot() {
    checkFails(PublishWithLostUpdate.class);
    checkFails(PublishWithCheckThenSet.class);
  }

  /** Operations on a {@link PendingResult}. */
  @Param(name = "result", gen = IntGen.class, conf = "1:3")
  public static class PendingResultCalls {
    private final PendingResult<Integer> work = new PendingResult<>();

    @Operation
    public boolean complete(@Param(name = "result") int result) {
      return work.complete(result);
    }

    @Operation
    public int poll() {
      return work.poll().orElse(0);
    }

    @Operation
    public boolean cancel() {
      return work.cancel();
    }

    @Operation
    public boolean isCancelled() {
      return work.isCancelled();
    }
  }

  @Test
  void pendingResultIsLinearizable() {
    check(PendingResultCalls.class);
  }

  /**
   * Incorrect variant (check, then set): two threads can consume the same result, or one thread can
   * consume a result that the other has cancelled.
   */
  @Param(name = "result", gen = IntGen.class, conf = "1:3")
  public static class PendingResultWithCheckThenSet {
    private volatile int result;
    private volatile boolean cancelled;

    @Operation
    public void complete(@Param(name = "result") int value) {
      result = value;
    }

    @Operation
    public int poll() {
      int consumed = cancelled ? 0 : result;
      result = 0;
      return consumed;
    }

    @Operation
    public boolean cancel() {
      boolean pending = !cancelled;
      cancelled = true;
      return pending;
    }
  }

  @Test
  void findsResultConsumedTwice() {
    checkFails(PendingResultWithCheckThenSet.class);
  }

  /** Operations on a {@link DeferredStop}. */
  public static class DeferredStopCalls {
    private final AtomicBoolean resourceStopped = new AtomicBoolean();
    private final AtomicInteger calls = new AtomicInteger();
    private final DeferredStop<AtomicBoolean> deferredStop =
        new DeferredStop<>(resource -> resource.set(true));

    @Operation(runOnce = true)
    public void started() {
      deferredStop.started(resourceStopped);
      calls.incrementAndGet();
    }

    @Operation(runOnce = true)
    public void stop() {
      deferredStop.stop();
      calls.incrementAndGet();
    }

    @Validate
    public void isStoppedAfterBothCalls() {
      if (calls.get() == 2 && !resourceStopped.get()) {
        throw new IllegalStateException("the resource was not stopped after both calls");
      }
    }
  }

  @Test
  void resourceStoppedWhileStartingIsStopped() {
    check(DeferredStopCalls.class);
  }

  /**
   * Incorrect variant (check, then set): checks for a stop request before the resource is visible
   * to the other thread.
   */
  public static class DeferredStopWithCheckThenSet {
    private final AtomicBoolean resourceStopped = new AtomicBoolean();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile AtomicBoolean started;
    private volatile boolean stopped;

    @Operation(runOnce = true)
    public void started() {
      if (stopped) {
        resourceStopped.set(true);
      }
      started = resourceStopped;
      calls.incrementAndGet();
    }

    @Operation(runOnce = true)
    public void stop() {
      stopped = true;
      AtomicBoolean current = started;
      if (current != null) {
        current.set(true);
      }
      calls.incrementAndGet();
    }

    @Validate
    public void isStoppedAfterBothCalls() {
      if (calls.get() == 2 && !resourceStopped.get()) {
        throw new IllegalStateException("the resource was not stopped after both calls");
      }
    }
  }

  @Test
  void findsResourceThatIsNotStopped() {
    checkFails(DeferredStopWithCheckThenSet.class);
  }

  /** Operations on an {@link OpenResourceCounter}. */
  public static class OpenResourceCounterCalls {
    private final OpenResourceCounter<Integer> counter =
        new OpenResourceCounter<>(resource -> true);

    @Operation
    public void opened() {
      counter.opened();
    }

    @Operation
    public void closed() {
      counter.closed(1);
    }

    @Operation
    public int count() {
      return counter.count();
    }
  }

  @Test
  void openResourceCounterIsLinearizable() {
    check(OpenResourceCounterCalls.class);
  }

  /**
   * Incorrect variant: two threads that count concurrently can both subtract the same released
   * resource.
   */
  public static class CounterWithDoubleSubtraction {
    private final AtomicInteger open = new AtomicInteger(1);
    private final Queue<Integer> closed = new ConcurrentLinkedQueue<>();

    public CounterWithDoubleSubtraction() {
      closed.add(1);
    }

    @Operation
    public int count() {
      closed.removeIf(
          resource -> {
            open.decrementAndGet();
            return true;
          });
      return open.get();
    }
  }

  @Test
  void findsResourceSubtractedTwice() {
    checkFails(CounterWithDoubleSubtraction.class);
  }
}

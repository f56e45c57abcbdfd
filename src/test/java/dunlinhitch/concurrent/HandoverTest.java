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
 * All interleavings of two threads, by Lincheck's model checker: what one thread hands to another
 * acts as if one call went after the other. Each structure stands beside one that is put wrong in
 * the way that is easiest to write, and that one must be found.
 */
class HandoverTest {
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

  @Param(name = "number", gen = IntGen.class, conf = "1:3")
  public static class PublishedCalls {
    private final Published<Integer> published = new Published<>(0);

    @Operation
    public long publish(@Param(name = "number") int value) {
      return published.publish(value);
    }

    @Operation
    public boolean offer(@Param(name = "number") int number) {
      return published.offer(number, -number);
    }

    @Operation
    public String latest() {
      return published.latest().toString();
    }
  }

  @Test
  void aPublishedSnapshotIsWholeAndNeverOlder() {
    check(PublishedCalls.class);
  }

  /** An update that is lost: two threads read one number and both write the next. */
  public static class PublishedByReadingAndWriting {
    private volatile long number;

    @Operation
    public long publish() {
      number = number + 1;
      return number;
    }
  }

  /** Checked first and set then: an older one takes the place of a newer. */
  @Param(name = "number", gen = IntGen.class, conf = "1:3")
  public static class PublishedByCheckingFirst {
    private volatile int latest;

    @Operation
    public boolean offer(@Param(name = "number") int number) {
      if (latest >= number) {
        return false;
      }
      latest = number;
      return true;
    }

    @Operation
    public int latest() {
      return latest;
    }
  }

  @Test
  void aLostUpdateAndAnOlderSnapshotAreFound() {
    checkFails(PublishedByReadingAndWriting.class);
    checkFails(PublishedByCheckingFirst.class);
  }

  @Param(name = "result", gen = IntGen.class, conf = "1:3")
  public static class AbandonableCalls {
    private final Abandonable<Integer> work = new Abandonable<>();

    @Operation
    public boolean give(@Param(name = "result") int result) {
      return work.give(result);
    }

    @Operation
    public int take() {
      return work.take().orElse(0);
    }

    @Operation
    public boolean abandon() {
      return work.abandon();
    }

    @Operation
    public boolean isAbandoned() {
      return work.isAbandoned();
    }
  }

  @Test
  void aResultIsTakenOnceOrAbandonedOnce() {
    check(AbandonableCalls.class);
  }

  /** Checked first and taken then: two may take it, or one takes what the other abandoned. */
  @Param(name = "result", gen = IntGen.class, conf = "1:3")
  public static class AbandonableByCheckingFirst {
    private volatile int result;
    private volatile boolean abandoned;

    @Operation
    public void give(@Param(name = "result") int given) {
      result = given;
    }

    @Operation
    public int take() {
      int taken = abandoned ? 0 : result;
      result = 0;
      return taken;
    }

    @Operation
    public boolean abandon() {
      boolean open = !abandoned;
      abandoned = true;
      return open;
    }
  }

  @Test
  void aResultThatIsTakenTwiceIsFound() {
    checkFails(AbandonableByCheckingFirst.class);
  }

  public static class StoppableCalls {
    private final AtomicBoolean cut = new AtomicBoolean();
    private final AtomicInteger calls = new AtomicInteger();
    private final Stoppable<AtomicBoolean> stream = new Stoppable<>(it -> it.set(true));

    @Operation(runOnce = true)
    public void begun() {
      stream.begun(cut);
      calls.incrementAndGet();
    }

    @Operation(runOnce = true)
    public void stop() {
      stream.stop();
      calls.incrementAndGet();
    }

    @Validate
    public void bothHaveComeAndItIsStopped() {
      if (calls.get() == 2 && !cut.get()) {
        throw new IllegalStateException("it goes on");
      }
    }
  }

  @Test
  void whatIsStoppedWhileItBeginsIsStopped() {
    check(StoppableCalls.class);
  }

  /** Looks before it says that it is there. */
  public static class StoppableThatLooksFirst {
    private final AtomicBoolean cut = new AtomicBoolean();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile AtomicBoolean begun;
    private volatile boolean stopped;

    @Operation(runOnce = true)
    public void begun() {
      if (stopped) {
        cut.set(true);
      }
      begun = cut;
      calls.incrementAndGet();
    }

    @Operation(runOnce = true)
    public void stop() {
      stopped = true;
      AtomicBoolean it = begun;
      if (it != null) {
        it.set(true);
      }
      calls.incrementAndGet();
    }

    @Validate
    public void bothHaveComeAndItIsStopped() {
      if (calls.get() == 2 && !cut.get()) {
        throw new IllegalStateException("it goes on");
      }
    }
  }

  @Test
  void whatGoesOnThoughItWasStoppedIsFound() {
    checkFails(StoppableThatLooksFirst.class);
  }

  public static class StillOpenCalls {
    private final StillOpen<Integer> open = new StillOpen<>(it -> true);

    @Operation
    public void opened() {
      open.opened();
    }

    @Operation
    public void closed() {
      open.closed(1);
    }

    @Operation
    public int count() {
      return open.count();
    }
  }

  @Test
  void whatIsGoneIsCountedOffOnce() {
    check(StillOpenCalls.class);
  }

  /**
   * As the clients' listener counted before: what is gone is counted off where it is found, and two
   * may find it.
   */
  public static class StillOpenByCountingWhatIsFound {
    private final AtomicInteger open = new AtomicInteger(1);
    private final Queue<Integer> closed = new ConcurrentLinkedQueue<>();

    public StillOpenByCountingWhatIsFound() {
      closed.add(1);
    }

    @Operation
    public int count() {
      closed.removeIf(
          it -> {
            open.decrementAndGet();
            return true;
          });
      return open.get();
    }
  }

  @Test
  void whatIsCountedOffTwiceIsFound() {
    checkFails(StillOpenByCountingWhatIsFound.class);
  }
}

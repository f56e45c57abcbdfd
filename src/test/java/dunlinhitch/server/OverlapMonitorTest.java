package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.core.Event;
import io.vertx.core.Vertx;
import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against two overlapping processes that both use the full budgets. This happened because
 * the new process of a hot restart halved its slow-start budgets for six seconds only, whereas the
 * old process may run longer than any fixed time.
 */
class OverlapMonitorTest {
  private static final Event.OverlapStarted BEGUN = new Event.OverlapStarted(Long.MAX_VALUE);
  private static final long NOW_US = 77;

  private final Vertx vertx = Vertx.vertx();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  @TempDir private Path folder;

  /** Entry point of the other process, which holds a lock until it is killed. */
  public static void main(String[] arguments) throws Exception {
    new ProcessLocks(Path.of(arguments[0])).acquire();
    System.out.println("locked");
    Thread.sleep(Long.MAX_VALUE);
  }

  private Process startOther() throws Exception {
    Process other =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                OverlapMonitorTest.class.getName(),
                folder.toString())
            .redirectErrorStream(true)
            .start();
    BufferedReader output = other.inputReader();
    assertEquals("locked", output.readLine());
    return other;
  }

  private OverlapMonitor monitor() {
    return new OverlapMonitor(vertx, folder, () -> NOW_US, events::add, line -> {});
  }

  private static <T> T get(io.vertx.core.Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @AfterEach
  void tearDown() throws Exception {
    get(vertx.close());
  }

  @Test
  void overlapLastsUntilOtherProcessEnds() throws Exception {
    Process other = startOther();
    assertTrue(get(monitor().start()));
    assertEquals(BEGUN, events.poll(5, TimeUnit.SECONDS));
    // a killed process cannot release its lock itself
    other.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    assertEquals(new Event.OverlapStarted(NOW_US), events.poll(5, TimeUnit.SECONDS));
    try (var files = Files.list(folder)) {
      assertEquals(1, files.count(), "the file of the killed process was not removed");
    }
  }

  /** The old process must detect the new one as well, so that both use half of the budgets. */
  @Test
  void laterProcessIsDetected() throws Exception {
    OverlapMonitor old = monitor();
    assertEquals(false, get(old.start()));
    OverlapMonitor successor =
        new OverlapMonitor(vertx, folder, () -> NOW_US, ignored -> {}, line -> {});
    assertTrue(get(successor.start()));
    assertEquals(BEGUN, events.poll(5, TimeUnit.SECONDS));
    get(successor.close());
    assertEquals(new Event.OverlapStarted(NOW_US), events.poll(5, TimeUnit.SECONDS));
  }

  /**
   * Another process may list the folder after a file is created and before it is locked, and must
   * not remove the file.
   */
  @Test
  void unlockedNewFileIsNotRemoved() throws Exception {
    Path unlocked = Files.createFile(folder.resolve("other.lock.new"));
    try (ProcessLocks locks = new ProcessLocks(folder)) {
      locks.acquire();
      assertEquals(0, locks.countOthers());
      assertTrue(Files.exists(unlocked));
      try (ProcessLocks other = new ProcessLocks(folder)) {
        other.acquire();
        assertEquals(1, locks.countOthers());
      }
      assertEquals(0, locks.countOthers());
    }
  }

  @Test
  void unusableFolderFailsStartWithoutEvents() throws Exception {
    Path file = Files.createFile(folder.resolve("file"));
    OverlapMonitor blocked = new OverlapMonitor(vertx, file, () -> NOW_US, events::add, line -> {});
    assertTrue(
        blocked
            .start()
            .toCompletionStage()
            .toCompletableFuture()
            .handle((v, e) -> e != null)
            .get(10, TimeUnit.SECONDS));
    assertEquals(0, events.size());
  }
}

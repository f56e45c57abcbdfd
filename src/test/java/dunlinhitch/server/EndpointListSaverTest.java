package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.discovery.EndpointListFile;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.EndpointRegistrySettings;
import dunlinhitch.endpoints.TimingWheel;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The state is saved after a temporary write failure, and at the end of the process. */
class EndpointListSaverTest {
  private static final long NOW_US = 1_700_000_000_000_000L;

  private final Vertx vertx = Vertx.vertx();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
  private final EndpointRegistry registry =
      new EndpointRegistry(EndpointRegistrySettings.of(2, 1), NOW_US);
  @TempDir private Path parent;

  private EndpointListSaver saver(Path folder) {
    registry.registerSource("dns", 1, false);
    claim("s-1");
    return new EndpointListSaver(
        vertx, new EndpointListFile(folder), () -> NOW_US, events::add, lines::add);
  }

  private void claim(String name) {
    Endpoint endpoint =
        new Endpoint(
            name, "127.0.0.1", 7001, 0, 0, ServerState.READY, 1, 0, Endpoint.Protocol.FRAMES);
    registry.update(
        NOW_US,
        "dns",
        false,
        List.of(new EndpointClaim(name, endpoint, NOW_US, TimingWheel.NEVER)));
  }

  private int savedClaims(Path folder) throws Exception {
    return new EndpointListFile(folder).read(NOW_US).bySource().get("dns").size();
  }

  private void onLoop(Runnable task) throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    vertx
        .getOrCreateContext()
        .runOnContext(
            v -> {
              task.run();
              done.countDown();
            });
    assertTrue(done.await(5, TimeUnit.SECONDS));
  }

  @AfterEach
  void tearDown() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @Test
  void failedWriteIsRetriedWithoutFurtherChange() throws Exception {
    Path folder =
        Files.createFile(
            parent.resolve("state")); // a file instead of a folder, so that writes fail
    EndpointListSaver saver = saver(folder);
    onLoop(() -> saver.saveIfChanged(registry));
    assertEquals(
        new Event.ConditionCounted(Counter.STATE_WRITES_FAILED), events.poll(5, TimeUnit.SECONDS));
    assertTrue(
        lines
            .poll(5, TimeUnit.SECONDS)
            .startsWith("cannot save the last known state, will retry: "));
    Files.delete(folder);
    onLoop(() -> saver.saveIfChanged(registry));
    assertEquals(
        "saved the last known state after failed attempts", lines.poll(5, TimeUnit.SECONDS));
    assertEquals(1, savedClaims(folder));
  }

  /** At the end of the process, a change that was made during a write is saved as well. */
  @Test
  void lastSaveRunsAfterWriteInProgress() throws Exception {
    EndpointListSaver saver = saver(parent);
    CountDownLatch saved = new CountDownLatch(1);
    onLoop(
        () -> {
          saver.saveIfChanged(registry);
          claim("s-2");
          saver.saveLast(registry).onComplete(v -> saved.countDown());
        });
    assertTrue(saved.await(5, TimeUnit.SECONDS));
    assertEquals(2, savedClaims(parent));
  }
}

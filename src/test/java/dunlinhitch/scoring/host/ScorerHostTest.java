package dunlinhitch.scoring.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.scoring.CircuitBreakerSettings;
import dunlinhitch.scoring.EndpointSnapshot;
import dunlinhitch.scoring.FactorTable;
import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerSettings;
import dunlinhitch.scoring.Scoring;
import dunlinhitch.scoring.ScoringSettings;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.Scorer;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.ref.ReferenceQueue;
import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compiles plug-ins against the scorer interface only and loads them from a directory of jars. */
class ScorerHostTest {
  private static final String SOURCE =
      """
            package p;
            import dunlinhitch.scoring.api.*;
            import java.util.*;
            public final class TestScorer implements Scorer {
                private final List<byte[]> retained = new ArrayList<>();
                private String mode = "";
                private int round;
                public int api() { return API; }
                public String name() { return "test-scorer"; }
                public String version() { return "VERSION"; }
                public void begin(Map<String, String> parameters) {
                    System.getProperties().put("scorer.test", new java.lang.ref.WeakReference<>(getClass().getClassLoader()));
                    mode = parameters.getOrDefault("mode", "");
                    if (mode.equals("rejects-parameters")) { throw new IllegalArgumentException("no such mode"); }
                    if (mode.equals("loads-broker-class")) {
                        try { Class.forName("dunlinhitch.balancer.LoadBalancer"); } catch (ClassNotFoundException e) { throw new RuntimeException(e); }
                    }
                }
                public List<Judgement> judge(Round r) {
                    round++;
                    if (mode.equals("throws")) { throw new IllegalStateException() { public String getMessage() { throw new Error(); } }; }
                    if (mode.equals("overflows-stack")) { return judge(r); }
                    if (mode.equals("too-few-judgements")) { return List.of(); }
                    if (mode.equals("null-judgements")) { return null; }
                    if (mode.equals("unbounded-list")) {
                        return new AbstractList<>() {
                            public Judgement get(int i) { return Judgement.NONE; }
                            public int size() { return Integer.MAX_VALUE; }
                        };
                    }
                    if (mode.equals("allocates-much")) { retained.add(new byte[32 << 20]); }
                    if (mode.equals("leaks")) { retained.add(new byte[64 << 10]); }
                    long until = System.nanoTime() + 30_000_000;
                    while (mode.equals("slow") && System.nanoTime() < until) { retained.clear(); }
                    while (mode.equals("ignores-interrupts")) { try { Thread.sleep(1_000_000); } catch (InterruptedException e) { retained.clear(); } }
                    return Collections.nCopies(r.candidates().size(), Judgement.of(FACTOR));
                }
            }
            """;
  private static final List<Scoring.QueryClass> QUERY_CLASSES =
      List.of(new Scoring.QueryClass("a", 100_000));
  private static final ScoringSettings FAST_ROUNDS =
      new ScoringSettings(
          ScoringSettings.STANDARD.weights(), ScoringSettings.STANDARD.damping(), 2_000, 64);

  /** Limits with a backoff longer than the test and timeouts that are not reached. */
  private static final HostLimits NO_RETRY =
      new HostLimits(
          new HostLimits.RoundLimits(60_000_000, 60_000_000, 8 << 20),
          60_000_000,
          2,
          100,
          new CircuitBreakerSettings(3_600_000_000L, 3_600_000_000L, 10, 2));

  @TempDir private Path directory;

  /**
   * Receives a permit each time the supervisor thread reads the clock. A thread that acquires a
   * permit sees all earlier effects of the supervisor thread.
   */
  private final Semaphore clockReads = new Semaphore(0);

  private final List<String> logLines = Collections.synchronizedList(new ArrayList<>());

  private ScorerHost host(ScorerSettings settings, HostLimits limits, boolean heapIsNearlyFull) {
    ScorerHost host =
        new ScorerHost(
            new HostConfiguration("me", settings, FAST_ROUNDS, limits, QUERY_CLASSES, 1),
            new HostEnvironment(
                () -> {
                  clockReads.release();
                  return System.nanoTime() / 1_000;
                },
                () -> System.currentTimeMillis() * 1_000,
                () -> heapIsNearlyFull,
                logLines::add));
    host.updateEndpoints(
        List.of(new EndpointSnapshot(0, "s0", 0, "z", true, 1, 0, 0, List.of(), 0)));
    return host;
  }

  private void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      assertTrue(
          clockReads.tryAcquire(60, TimeUnit.SECONDS),
          () -> "the supervisor thread made no progress within 60 s: " + logLines);
    }
  }

  private static long failures(ScorerHost host, Failure failure) {
    return host.statistics().counters().failures().getOrDefault(failure, 0L);
  }

  private ScorerSettings settings(String mode) {
    return new ScorerSettings("test-scorer", directory, Map.of("mode", mode));
  }

  /** Compiles a plug-in against the classes of the scorer interface only. */
  private static void compileJar(Path jar, Path source, String service) throws IOException {
    Path work = Files.createTempDirectory(jar.toAbsolutePath().getParent(), "build");
    Path api = Files.createDirectories(work.resolve("api/dunlinhitch/scoring/api"));
    Path classes = Files.createDirectories(work.resolve("classes"));
    try (Stream<Path> files = Files.list(Path.of("target/classes/dunlinhitch/scoring/api"))) {
      for (Path file : files.toList()) {
        Files.copy(file, api.resolve(file.getFileName()));
      }
    }
    assertEquals(
        0,
        ToolProvider.getSystemJavaCompiler()
            .run(
                null,
                null,
                null,
                "-cp",
                work.resolve("api").toString(),
                "-d",
                classes.toString(),
                source.toString()));
    try (OutputStream output = Files.newOutputStream(jar);
        JarOutputStream out = new JarOutputStream(output);
        Stream<Path> files = Files.walk(classes)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        out.putNextEntry(new JarEntry(classes.relativize(file).toString()));
        Files.copy(file, out);
      }
      out.putNextEntry(new JarEntry("META-INF/services/" + Scorer.class.getName()));
      out.write(service.getBytes(StandardCharsets.UTF_8));
    }
  }

  private void compileScorerJar(String name, String api, String version, String factor)
      throws IOException {
    Path source = Files.createDirectories(directory.resolve("src")).resolve("TestScorer.java");
    Files.writeString(
        source,
        SOURCE
            .replace("API;", api + ";")
            .replace("VERSION\"", version + "\"")
            .replace("FACTOR", factor));
    compileJar(directory.resolve(name), source, "p.TestScorer");
  }

  @ParameterizedTest
  @CsvSource({
    "throws,THROWS",
    "overflows-stack,THROWS",
    "too-few-judgements,NONSENSE",
    "null-judgements,NONSENSE",
    "unbounded-list,NONSENSE",
    "allocates-much,HOLDS_MEMORY",
    "rejects-parameters,WILL_NOT_LOAD",
    "loads-broker-class,WILL_NOT_LOAD"
  })
  void failingScorerIsEjectedAndReportedWithItsRemedy(String mode, Failure failure)
      throws Exception {
    compileScorerJar("test.jar", "ScoringApi.VERSION", "1", "2");
    try (ScorerHost host = host(settings(mode), NO_RETRY, false)) {
      await(() -> failures(host, failure) == 1);
      assertSame(FactorTable.NONE, host.factors());
      assertNull(host.statistics().scorer());
      assertTrue(
          host.statistics().problem().contains(failure.remedy()), host.statistics().problem());
      boolean loaded = failure != Failure.WILL_NOT_LOAD;
      assertEquals(loaded ? 1 : 0, host.pendingGossip().ejectionNotices().size());
    }
  }

  @Test
  void scorerThatIsSlowOrLeaksMemoryIsEjected() throws Exception {
    compileScorerJar("test.jar", "ScoringApi.VERSION", "1", "2");
    HostLimits littleCpuTime =
        new HostLimits(
            new HostLimits.RoundLimits(1_000, 60_000_000, 8 << 20),
            60_000_000,
            2,
            100,
            NO_RETRY.circuitBreaker());
    try (ScorerHost host = host(settings("slow"), littleCpuTime, false)) {
      await(() -> failures(host, Failure.SLOW) == 1);
      assertEquals(1, host.statistics().counters().validRounds());
    }
    try (ScorerHost host = host(settings("leaks"), NO_RETRY, true)) {
      await(() -> failures(host, Failure.HOLDS_MEMORY) == 1);
      assertTrue(host.statistics().counters().validRounds() > 1);
    }
  }

  /**
   * Each timeout abandons a thread. At the limit on abandoned threads no further scorer is loaded.
   * Calls by the event loop do not block.
   */
  @Test
  void scorerThatNeverReturnsBlocksOnlyItsOwnThreads() throws Exception {
    compileScorerJar("test.jar", "ScoringApi.VERSION", "1", "2");
    HostLimits shortTimeout =
        new HostLimits(
            new HostLimits.RoundLimits(60_000_000, 20_000, 8 << 20),
            60_000_000,
            2,
            100,
            new CircuitBreakerSettings(1, 1, 10, 2));
    try (ScorerHost host = host(settings("ignores-interrupts"), shortTimeout, false)) {
      await(() -> failures(host, Failure.NEVER_RETURNS) == 2);
      clockReads.drainPermits();
      clockReads.acquire(20); // the supervisor continues to run but loads no scorer
      assertEquals(2, host.statistics().counters().failures().get(Failure.NEVER_RETURNS));
      assertEquals(2, host.statistics().abandonedThreads());
      for (int i = 0; i < 1_000; i++) {
        host.onAttemptCompleted("s0", 0, new Ending(Ending.Outcome.ANSWERED, 0, 0, 0));
      }
    }
  }

  @Test
  void laterInterfaceDuplicateNameAndMissingScorerAreReported() throws Exception {
    try (ScorerHost host = host(settings(""), NO_RETRY, false)) {
      await(() -> failures(host, Failure.NOT_THERE) == 1);
      compileScorerJar("later.jar", "2", "1", "2");
      host.reload(settings(""));
      await(() -> failures(host, Failure.LATER_API) == 1);
      compileScorerJar("later.jar", "1", "1", "2");
      compileScorerJar("test.jar", "1", "1", "2");
      host.reload(settings(""));
      await(() -> failures(host, Failure.WILL_NOT_LOAD) == 1);
      assertTrue(host.statistics().problem().contains("two jars"), host.statistics().problem());
    }
  }

  @Test
  void reloadAddsReplacesAndReleasesAJar() throws Exception {
    compileScorerJar("test.jar", "ScoringApi.VERSION", "1", "2");
    try (ScorerHost host = host(settings(""), NO_RETRY, false)) {
      await(() -> host.factors().factor(0, 0) > 1.9);
      WeakReference<?> first = (WeakReference<?>) System.getProperties().get("scorer.test");
      Files.writeString(directory.resolve("test.jar"), "no jar");
      host.reload(settings(""));
      await(() -> failures(host, Failure.WILL_NOT_LOAD) == 1);
      assertEquals("1", host.statistics().scorer().version()); // the active scorer continues
      compileScorerJar("test.jar", "ScoringApi.VERSION", "2", "3");
      host.reload(settings(""));
      await(
          () ->
              host.statistics().scorer().version().equals("2")
                  && host.factors().factor(0, 0) > 2.8);
      assertCollected(first);
      WeakReference<?> second = (WeakReference<?>) System.getProperties().get("scorer.test");
      Files.delete(directory.resolve("test.jar"));
      host.reload(settings(""));
      await(() -> failures(host, Failure.NOT_THERE) == 1);
      assertSame(FactorTable.NONE, host.factors());
      assertCollected(second);
    }
  }

  private static void assertCollected(WeakReference<?> loader) throws InterruptedException {
    ReferenceQueue<Object> emptyQueue = new ReferenceQueue<>();
    for (int attempt = 0; attempt < 100 && loader.get() != null; attempt++) {
      System.gc();
      emptyQueue.remove(50);
    }
    assertNull(loader.get(), "the classes of a released jar are still reachable");
  }

  @Test
  void exampleIsCompiledAgainstTheInterfaceAloneAndRuns() throws Exception {
    compileJar(
        directory.resolve("quiet.jar"),
        Path.of("examples/scorer/src/org/example/scorer/QuietFirst.java"),
        Files.readString(Path.of("examples/scorer/META-INF/services/" + Scorer.class.getName())));
    for (ScorerSettings settings :
        List.of(
            new ScorerSettings("quiet-first", directory, Map.of("busy", "3")),
            new ScorerSettings("store-pace", null, Map.of()),
            new ScorerSettings("peak-latency", null, Map.of()))) {
      try (ScorerHost host = host(settings, NO_RETRY, false)) {
        await(() -> host.statistics().counters().validRounds() > 0);
        assertEquals(settings.name(), host.statistics().scorer().name());
      }
    }
  }
}

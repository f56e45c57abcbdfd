package dunlinhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.testbed.BrokerLaunch;
import io.vertx.core.Vertx;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reload of the configuration by a broker process on SIGHUP. */
class SighupTest {
  @TempDir private Path dir;

  /**
   * Starts a broker process that inherits SIGHUP as ignored; its command line begins with {@code
   * before}. Returns the output of the process up to the line with its listen address. If {@code
   * sendsSignal} is true, SIGHUP is then sent, and the output is returned up to a line that begins
   * with {@code until}.
   */
  private static List<String> startIgnoringSighup(
      Path file, String before, String until, boolean sendsSignal) throws Exception {
    Process broker =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                "trap '' HUP; exec " + before + " \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinhitch.cli.Main",
                "serve",
                "--config",
                file.toString())
            .redirectErrorStream(true)
            .start();
    try (var reader = broker.inputReader()) {
      List<String> lines = ServeProcess.read(reader, "n1 listens");
      if (sendsSignal) {
        ServeProcess.sendSighup(broker);
        lines.addAll(ServeProcess.read(reader, until));
      }
      return lines;
    } finally {
      broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
  }

  /**
   * A JVM that is started with SIGHUP ignored, for example by nohup, keeps ignoring it. The command
   * in the deploy file resets the signal. If the signal is not reset, the broker must report that
   * reload is disabled. Without this report it would silently continue to use the old address of a
   * discovery service that has moved, and endpoints that were withdrawn.
   */
  @Test
  void reloadsOnSighupWhenStartedByNohup() throws Exception {
    String run = BrokerLaunch.readDeployCommand();
    String before = run.substring(run.indexOf("exec ") + 5, run.indexOf("sh deploy/serve.sh"));
    Vertx vertx = Vertx.vertx();
    try (Discovery discovery = new Discovery(vertx)) {
      discovery.setList();
      Path file = dir.resolve("config.json");
      Files.writeString(file, ServeProcess.config(discovery));
      List<String> lines =
          startIgnoringSighup(file, before, "configuration reloaded: classes ", true);
      assertTrue(
          lines.stream().noneMatch(line -> line.startsWith("SIGHUP is ignored")), lines.toString());
      lines = startIgnoringSighup(file, "", "", false);
      assertTrue(
          lines.stream().anyMatch(line -> line.startsWith("SIGHUP is ignored")), lines.toString());
    } finally {
      vertx.close();
    }
  }

  /**
   * On SIGHUP the file takes precedence over the environment. The new address numbers its endpoint
   * lists separately, so its complete list is requested first. An unreadable file changes nothing.
   */
  @Test
  void sighupMovesDiscoveryToTheAddressInTheFile() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (Discovery old = new Discovery(vertx);
        Discovery moved = new Discovery(vertx)) {
      for (int generation = 0; generation < 3; generation++) {
        old.setList();
      }
      moved.setList();
      Path file = dir.resolve("config.json");
      Files.writeString(file, ServeProcess.config(moved));
      Process broker = ServeProcess.start(file, old);
      try (var reader = broker.inputReader()) {
        ServeProcess.read(reader, "n1 listens");
        assertEquals(
            "/registry/instances?follow=1&since=0", old.requests.poll(5, TimeUnit.SECONDS));
        String complete = Files.readString(file);
        Files.writeString(file, complete.substring(0, 60));
        ServeProcess.sendSighup(broker);
        ServeProcess.read(reader, "configuration rejected, keeping the current one: ");
        Files.writeString(file, complete);
        ServeProcess.sendSighup(broker);
        assertEquals("/registry/instances", moved.requests.poll(5, TimeUnit.SECONDS));
        assertEquals(
            "/registry/instances?follow=1&since=1", moved.requests.poll(5, TimeUnit.SECONDS));
        broker.toHandle().destroy();
        List<String> lines = ServeProcess.read(reader, "faults");
        assertTrue(lines.contains("discovery_moved 1") && lines.contains("bad_configurations 1"));
      }
      assertTrue(broker.waitFor(10, TimeUnit.SECONDS));
      assertEquals(0, broker.exitValue());
    } finally {
      vertx.close();
    }
  }

  /**
   * SIGHUP arrives during the start, when the file is open but not yet read: the process survives
   * and reloads the file once it has started.
   */
  @Test
  void sighupDuringStartReloadsOnceStarted() throws Exception {
    Vertx vertx = Vertx.vertx();
    Path pipe = dir.resolve("config.json");
    Process broker = ServeProcess.startOnPipe(pipe);
    try (Discovery old = new Discovery(vertx);
        Discovery moved = new Discovery(vertx)) {
      old.setList();
      moved.setList();
      try (OutputStream first = ServeProcess.openWhenRead(pipe, broker)) {
        Files.delete(pipe); // the reload opens a new pipe
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        ServeProcess.sendSighup(broker);
        first.write(ServeProcess.config(old).getBytes(StandardCharsets.UTF_8));
      }
      try (OutputStream second = ServeProcess.openWhenRead(pipe, broker)) {
        second.write(ServeProcess.config(moved).getBytes(StandardCharsets.UTF_8));
      }
      assertEquals("/registry/instances", moved.requests.poll(10, TimeUnit.SECONDS));
    } finally {
      broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      vertx.close();
    }
  }
}

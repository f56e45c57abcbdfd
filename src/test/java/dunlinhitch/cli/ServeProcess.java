package dunlinhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.fakes.Discovery;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Starts broker processes and reads their output. */
final class ServeProcess {
  private ServeProcess() {}

  /** Returns a configuration with the address of this discovery service. */
  static String config(Discovery discovery) {
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
        + discovery.port()
        + "\",\"seed\":\"8c1f30d27a5be964\",\"settings\":{\"Classes\":[{\"Name\":\"a\","
        + "\"DeadlineUs\":1000000}],\"Limits\":{\"ConnectTimeoutUs\":250000,\"StreamsPerConn\":32}}}";
  }

  /** Starts a broker that logs the classes it loads. */
  static Process start(Path file, Discovery discovery) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load",
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinhitch.cli.Main",
                "serve",
                "--config",
                file.toString())
            .redirectErrorStream(true);
    builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discovery.port());
    return builder.start();
  }

  /** Reads up to a line that begins with {@code until}; fails if the output ends earlier. */
  static List<String> read(BufferedReader reader, String until) throws IOException {
    List<String> lines = new ArrayList<>();
    String line = reader.readLine();
    while (line != null) {
      lines.add(line);
      line = line.startsWith(until) ? null : reader.readLine();
    }
    assertTrue(
        lines.get(lines.size() - 1).startsWith(until),
        () -> "the output ended: " + lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    return lines;
  }

  static void sendSighup(Process broker) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(broker.pid())).start().waitFor());
  }

  /**
   * Starts a broker without options whose configuration file is a named pipe: opening the pipe for
   * writing blocks until the broker has opened it for reading.
   */
  static Process startOnPipe(Path pipe) throws Exception {
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinhitch.cli.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().remove("ROUTER_DISCOVERY");
    builder.environment().put("ROUTER_CONFIG", pipe.toString());
    return builder.start();
  }

  /** Opens the pipe once the broker reads it; fails if the broker exits earlier. */
  static OutputStream openWhenRead(Path pipe, Process broker) throws Exception {
    CompletableFuture<OutputStream> open =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return Files.newOutputStream(pipe);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            },
            task -> new Thread(task).start());
    CompletableFuture.anyOf(open, broker.onExit()).get(20, TimeUnit.SECONDS);
    if (!open.isDone()) {
      new RandomAccessFile(pipe.toFile(), "rw").close(); // unblocks the task
      open.get(5, TimeUnit.SECONDS).close();
    }
    assertTrue(broker.isAlive(), () -> "the broker exited: " + broker.exitValue());
    return open.get();
  }

  /** Starts a broker without options that logs the classes it loads. */
  static Process startWithoutOptions(Path file) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load",
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinhitch.cli.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().remove("ROUTER_DISCOVERY");
    builder.environment().put("ROUTER_CONFIG", file.toString());
    return builder.start();
  }
}

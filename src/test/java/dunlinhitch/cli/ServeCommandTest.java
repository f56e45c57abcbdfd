package dunlinhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Broker processes, observed from outside. */
class ServeCommandTest {
  /** Names of classes and packages that a broker without optional features does not load. */
  private static final List<String> UNUSED_CLASSES =
      List.of(
          "org.apache.arrow",
          "org.xbill",
          "org.bouncycastle",
          "org.apache.commons.text",
          "dunlinhitch.experiments",
          "dunlinhitch.config.syntax.",
          "dunlinhitch.discovery.dnssd",
          "dunlinhitch.server.DnsSources",
          "org.HdrHistogram",
          "org.roaringbitmap",
          "dunlinhitch.twophase.TwoPhasePlanner",
          "dunlinhitch.cluster",
          "dunlinhitch.cluster.versions",
          "dunlinhitch.answerkeys",
          "dunlinhitch.scoring",
          "dunlinhitch.cluster.gossip",
          "dunlinhitch.core.Cluster",
          "dunlinhitch.server.ClusterGossip",
          "com.google.");

  @TempDir private Path dir;

  /**
   * No class of a disabled feature is loaded, because a disabled feature must not use memory.
   * SIGTERM ends the process with exit code 0.
   */
  @Test
  void loadsNoClassOfUnusedFeaturesAndEndsOnSigterm() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (Discovery discovery = new Discovery(vertx)) {
      discovery.setList();
      Path file = dir.resolve("config.json");
      Files.writeString(file, ServeProcess.config(discovery));
      Process broker = ServeProcess.start(file, discovery);
      List<String> lines = new ArrayList<>();
      try (var reader = broker.inputReader()) {
        lines.addAll(ServeProcess.read(reader, "n1 listens"));
        broker.toHandle().destroy();
        lines.addAll(ServeProcess.read(reader, "faults"));
      }
      assertTrue(broker.waitFor(10, TimeUnit.SECONDS));
      assertEquals(0, broker.exitValue());
      assertTrue(lines.contains("queries_taken 0"), "counters are printed at exit");
      for (String off : UNUSED_CLASSES) {
        assertFalse(
            lines.stream().anyMatch(l -> l.contains(off)),
            "loaded although the feature is off: " + off);
      }
    } finally {
      vertx.close();
    }
  }

  /** The platform starts a broker without options, which must not load the option parser. */
  @Test
  void loadsNoClassOfTheOptionParserWithoutOptions() throws Exception {
    Vertx vertx = Vertx.vertx();
    Path file = dir.resolve("config.json");
    try (Discovery discovery = new Discovery(vertx)) {
      discovery.setList();
      Files.writeString(file, ServeProcess.config(discovery));
      Process broker = ServeProcess.startWithoutOptions(file);
      try (var reader = broker.inputReader()) {
        List<String> lines = ServeProcess.read(reader, "n1 listens");
        assertFalse(lines.stream().anyMatch(line -> line.contains("picocli")));
      } finally {
        broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      }
    } finally {
      vertx.close();
    }
  }

  /** Returns each thread's id and state from {@code /proc}: R is running, S and D are waiting. */
  private static Map<String, Character> threadStates(long pid) throws IOException {
    Map<String, Character> states = new TreeMap<>();
    try (var tasks = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
      for (Path task : tasks.toList()) {
        try {
          String stat = Files.readString(task.resolve("stat"));
          states.put(task.getFileName().toString(), stat.charAt(stat.lastIndexOf(')') + 2));
        } catch (IOException ended) { // the thread ended after it was listed
        }
      }
    }
    return states;
  }

  /**
   * The platform's rules (STANDING.md) require that a broker is one process that starts no program,
   * and treat a thread that neither waits nor ends for 20 s as a crash. Therefore no class that
   * starts programs may be loaded, the process must have no child, and every thread must be seen
   * waiting at least once in 400 readings; a spinning thread is in state R in all of them.
   */
  @Test
  void startsNoProgramAndNoThreadSpins() throws Exception {
    assumeTrue(Files.isDirectory(Path.of("/proc/self/task")), "requires /proc");
    Vertx vertx = Vertx.vertx();
    try (Discovery discovery = new Discovery(vertx)) {
      discovery.setList();
      Path file = dir.resolve("config.json");
      Files.writeString(file, ServeProcess.config(discovery));
      Process broker = ServeProcess.start(file, discovery);
      List<String> lines = new ArrayList<>();
      try (var reader = broker.inputReader()) {
        lines.addAll(ServeProcess.read(reader, "n1 listens"));
        Set<String> running = new TreeSet<>(threadStates(broker.pid()).keySet());
        for (int reading = 0; reading < 400 && !running.isEmpty(); reading++) {
          Map<String, Character> now = threadStates(broker.pid());
          running.removeIf(id -> !now.containsKey(id) || now.get(id) != 'R');
          Thread.sleep(5);
        }
        assertEquals(Set.of(), running, "threads that never waited");
        String children = "";
        try (var tasks = Files.list(Path.of("/proc", Long.toString(broker.pid()), "task"))) {
          for (Path task : tasks.toList()) {
            Path of = task.resolve("children"); // exists only if the kernel provides the list
            children += Files.exists(of) ? Files.readString(of).strip() : "";
          }
        }
        assertEquals("", children, "processes that the broker started");
        broker.toHandle().destroy();
        lines.addAll(ServeProcess.read(reader, "faults"));
      }
      assertTrue(broker.waitFor(10, TimeUnit.SECONDS));
      for (String starts : List.of("java.lang.ProcessBuilder ", "java.lang.ProcessImpl ")) {
        assertFalse(
            lines.stream().anyMatch(l -> l.contains(starts)),
            "class that starts programs is loaded: " + starts);
      }
    } finally {
      vertx.close();
    }
  }

  private static String linkTarget(Path link) {
    try {
      return Files.readSymbolicLink(link).toString();
    } catch (IOException closed) {
      return ".jar";
    }
  }

  private static String configWithFewSockets(int discoveryPort) {
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
        + discoveryPort
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":64},\"settings\":{\"FailureDomains\":[\"a\"],\"Classes\":[{\"Name\":\"a\","
        + "\"DeadlineUs\":1000000}],\"Limits\":{\"ConnectTimeoutUs\":250000,\"StreamsPerConn\":32}}}";
  }

  private static Process startWithDescriptorLimit(Path file, int limit) throws IOException {
    return new ProcessBuilder(
            "/bin/sh",
            "-c",
            "ulimit -n " + limit + "; exec \"$0\" \"$@\"",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "dunlinhitch.cli.Main",
            "serve",
            "--config",
            file.toString())
        .redirectErrorStream(true)
        .start();
  }

  private static String request(int number, String body) {
    return "POST /a HTTP/1.1\r\nHost: x\r\nX-Trace-Id: q"
        + number
        + "\r\nConnection: close\r\nContent-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  /** Open jar files are not counted: in production there is one jar, in tests there are many. */
  private static void assertDescriptorsInUse(long pid) throws IOException {
    try (var open = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
      long inUse = 1 + open.filter(fd -> !linkTarget(fd).endsWith(".jar")).count();
      assertTrue(
          inUse >= 24 && inUse + 64 / 4 + 8 <= 64,
          "descriptors in use, not counting those reserved for stores, discovery and operators: "
              + inUse);
    }
  }

  /**
   * While discovery is down, idle clients occupy every file descriptor available to them and
   * reconnect whenever one is closed. The reserved descriptors must suffice to get an endpoint
   * list, to connect to a backend and to serve a query. The process uses no more descriptors than
   * configured.
   */
  @Test
  void idleClientsLeaveDescriptorsForDiscoveryAndBackends() throws Exception {
    assumeTrue(Files.isDirectory(Path.of("/proc/self/fd")), "requires /proc");
    Vertx vertx = Vertx.vertx();
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    FrameStore store = new FrameStore(vertx, "s");
    Path file = dir.resolve("config.json");
    Files.writeString(file, configWithFewSockets(port));
    Process broker = startWithDescriptorLimit(file, 200);
    List<Socket> idleClients = new ArrayList<>();
    try (var reader = broker.inputReader()) {
      List<String> lines = ServeProcess.read(reader, "n1 listens");
      String listens = lines.get(lines.size() - 1);
      int clients = Integer.parseInt(listens.substring(listens.lastIndexOf(':') + 1));
      for (int i = 0; i < 300; i++) {
        idleClients.add(new Socket(InetAddress.getLoopbackAddress(), clients));
      }
      try (Discovery discovery = new Discovery(vertx, port)) {
        discovery.setList(Discovery.entry(store, "a", 0, "ready"));
        assertTrue(discovery.requests.poll(10, TimeUnit.SECONDS) != null, "no discovery request");
        String body = Client.body(0);
        String output = "";
        for (int i = 0; i < 40 && !output.startsWith("HTTP/1.1 200"); i++) {
          try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), clients)) {
            idleClients.add(new Socket(InetAddress.getLoopbackAddress(), clients));
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request(i, body).getBytes(StandardCharsets.UTF_8));
            output = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
          }
        }
        assertTrue(output.startsWith("HTTP/1.1 200"), "last response: " + output);
        assertDescriptorsInUse(broker.pid());
      }
      broker.toHandle().destroy();
      lines.addAll(ServeProcess.read(reader, "faults"));
      assertFalse(
          lines.stream().anyMatch(line -> line.contains("Too many open files")), lines.toString());
      assertTrue(lines.contains("faults 0"), lines.toString());
    } finally {
      broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      for (Socket socket : idleClients) {
        socket.close();
      }
      store.close();
      vertx.close();
    }
  }

  /** A failed start ends the process immediately, with exit code 2 and a one-line message. */
  @Test
  void exitsWithFailureCodeWhenItCannotListen() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (Discovery discovery = new Discovery(vertx);
        ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Path pipe = dir.resolve("config.json");
      Process broker = ServeProcess.startOnPipe(pipe);
      try (OutputStream first = ServeProcess.openWhenRead(pipe, broker)) {
        first.write(
            ServeProcess.config(discovery)
                .replace("127.0.0.1:0", "127.0.0.1:" + taken.getLocalPort())
                .getBytes(StandardCharsets.UTF_8));
      }
      List<String> lines = broker.inputReader().lines().toList();
      assertEquals(2, broker.waitFor(), lines.toString());
      assertEquals(1, lines.size(), lines.toString());
      assertTrue(lines.get(0).startsWith("dunlinhitch: cannot serve: "), lines.toString());
    } finally {
      vertx.close();
    }
  }
}

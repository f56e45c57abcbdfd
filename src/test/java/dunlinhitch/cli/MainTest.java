package dunlinhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.dns.Responder;
import dunlinhitch.experiments.dns.Zone;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.Vertx;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program from outside. */
class MainTest {
  @TempDir private Path dir;

  private static String complaint(String... arguments) {
    PrintStream before = System.err;
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    System.setErr(new PrintStream(said, true, StandardCharsets.UTF_8));
    try {
      assertEquals(2, Main.commandLine().execute(arguments));
    } finally {
      System.setErr(before);
    }
    return said.toString(StandardCharsets.UTF_8);
  }

  @Test
  void whatIsWrongIsSaidInOnePlainLine() throws IOException {
    Path file = dir.resolve("config.json");
    for (String text :
        List.of(
            "{",
            "{}",
            "{\"settings\":{\"Classes\":[]},\"listen\":\"x\"}",
            "{\"settings\":{},\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\"}")) {
      Files.writeString(file, text);
      String said = complaint("check", "--config", file.toString());
      assertEquals(1, said.lines().count(), said);
      assertTrue(said.startsWith("dunlinhitch: "), said);
    }
    assertEquals(1, complaint("check", "--config", dir.resolve("none").toString()).lines().count());
    assertEquals(1, complaint("nonsense").lines().count());
    assertEquals(1, complaint("serve", "--bogus").lines().count());
  }

  /** What the build archives the classes of must really have served. */
  @Test
  void theRehearsalIsServed() {
    assertEquals(0, Main.commandLine().execute("rehearse"));
  }

  private static String config(Discovery discovery) {
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
        + discovery.port()
        + "\",\"seed\":\"8c1f30d27a5be964\",\"settings\":{\"Classes\":[{\"Name\":\"a\","
        + "\"DeadlineUs\":1000000}],\"Limits\":{\"ConnectTimeoutUs\":250000,\"StreamsPerConn\":32}}}";
  }

  private static Process start(Path file, Discovery discovery) throws IOException {
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

  /** Reads up to a line that begins so, or to the end. */
  private static List<String> read(BufferedReader reader, String until) throws IOException {
    List<String> lines = new ArrayList<>();
    String line = reader.readLine();
    while (line != null) {
      lines.add(line);
      line = line.startsWith(until) ? null : reader.readLine();
    }
    assertTrue(
        lines.get(lines.size() - 1).startsWith(until),
        () -> "it ended: " + lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    return lines;
  }

  /** What records mean, as the command says it: all well, a contradiction, nobody there. */
  @Test
  void recordsAreShownWithWhatIsWrong() throws Exception {
    Vertx vertx = Vertx.vertx();
    Zone zone = new Zone("example.org.");
    String service = "_calendar._tcp.example.org.";
    java.io.PrintStream before = System.out;
    java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    try (Responder responder = new Responder(vertx, zone)) {
      String[] command = {
        "records",
        "--server",
        "127.0.0.1:" + responder.port(),
        "--service",
        service,
        "--within",
        "5"
      };
      zone.change(
          List.of(),
          Zone.store(service, "East", "127.0.0.1", 7001, 60, "id=s-1", "cell=0", "zone=a"));
      System.setOut(new java.io.PrintStream(out, true));
      assertEquals(0, Main.commandLine().execute(command));
      assertTrue(
          out.toString().contains("127.0.0.1:7001") && out.toString().contains("live"),
          out.toString());
      zone.change(
          List.of(),
          Zone.store(service, "West", "127.0.0.1", 7002, 60, "id=s-1", "cell=0", "zone=a"));
      zone.change(
          List.of(), Zone.store(service, "South", "127.0.0.1", 7003, 60, "cell=0", "zone=a"));
      out.reset();
      assertEquals(1, Main.commandLine().execute(command));
      assertTrue(out.toString().contains("two claims name other addresses"), out.toString());
      assertTrue(
          out.toString().contains("instance \"South\" is of no use: its TXT record has no id"),
          out.toString());
      responder.script = question -> Responder.Fault.LOST;
      assertTrue(
          complaint(
                  "records",
                  "--server",
                  "127.0.0.1:" + responder.port(),
                  "--service",
                  service,
                  "--within",
                  "1")
              .contains("no answer from 127.0.0.1:" + responder.port()));
    } finally {
      System.setOut(before);
      vertx.close();
    }
  }

  /**
   * With neither front nor store that speaks it, no class of Arrow may cost memory; SIGTERM ends in
   * exit code 0.
   */
  @Test
  void aBrokerWithoutFlightLoadsNoArrowAndEndsOnRequest() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (Discovery discovery = new Discovery(vertx)) {
      discovery.list();
      Path file = dir.resolve("config.json");
      Files.writeString(file, config(discovery));
      Process broker = start(file, discovery);
      List<String> lines = new ArrayList<>();
      try (var reader = broker.inputReader()) {
        lines.addAll(read(reader, "n1 listens"));
        broker.toHandle().destroy();
        lines.addAll(read(reader, "faults"));
      }
      assertTrue(broker.waitFor(10, TimeUnit.SECONDS));
      assertEquals(0, broker.exitValue());
      assertTrue(lines.contains("queries_taken 0"), "counters are printed at exit");
      for (String off :
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
              "com.google.")) {
        assertFalse(
            lines.stream().anyMatch(l -> l.contains(off)),
            "loaded, though nothing asks for it: " + off);
      }
    } finally {
      vertx.close();
    }
  }

  /**
   * Each thread of the process by its id, with its state letter of {@code /proc}: R runs, S and D
   * wait.
   */
  private static java.util.Map<String, Character> threads(long pid) throws IOException {
    java.util.Map<String, Character> states = new java.util.TreeMap<>();
    try (var tasks = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
      for (Path task : tasks.toList()) {
        try {
          String stat = Files.readString(task.resolve("stat"));
          states.put(task.getFileName().toString(), stat.charAt(stat.lastIndexOf(')') + 2));
        } catch (IOException ended) { // a thread that ended between the listing and the reading
        }
      }
    }
    return states;
  }

  /**
   * STANDING.md: a broker is one process that starts no program, and a thread that neither waits
   * nor ends for 20 s is a crash there. So no class that starts a program is loaded, the process
   * has no child, and every thread of it is seen waiting at least once in 400 readings; a thread
   * that spins is in state R in every one.
   */
  @Test
  void aBrokerStartsNoProgramAndNoThreadOfItSpins() throws Exception {
    org.junit.jupiter.api.Assumptions.assumeTrue(
        Files.isDirectory(Path.of("/proc/self/task")), "threads are read in /proc");
    Vertx vertx = Vertx.vertx();
    try (Discovery discovery = new Discovery(vertx)) {
      discovery.list();
      Path file = dir.resolve("config.json");
      Files.writeString(file, config(discovery));
      Process broker = start(file, discovery);
      List<String> lines = new ArrayList<>();
      try (var reader = broker.inputReader()) {
        lines.addAll(read(reader, "n1 listens"));
        java.util.Set<String> running = new java.util.TreeSet<>(threads(broker.pid()).keySet());
        for (int reading = 0; reading < 400 && !running.isEmpty(); reading++) {
          java.util.Map<String, Character> now = threads(broker.pid());
          running.removeIf(id -> !now.containsKey(id) || now.get(id) != 'R');
          Thread.sleep(5);
        }
        assertEquals(java.util.Set.of(), running, "threads that never waited");
        String children = "";
        try (var tasks = Files.list(Path.of("/proc", Long.toString(broker.pid()), "task"))) {
          for (Path task : tasks.toList()) {
            Path of = task.resolve("children"); // where the kernel keeps the list
            children += Files.exists(of) ? Files.readString(of).strip() : "";
          }
        }
        assertEquals("", children, "processes that the broker started");
        broker.toHandle().destroy();
        lines.addAll(read(reader, "faults"));
      }
      assertTrue(broker.waitFor(10, TimeUnit.SECONDS));
      for (String starts : List.of("java.lang.ProcessBuilder ", "java.lang.ProcessImpl ")) {
        assertFalse(
            lines.stream().anyMatch(l -> l.contains(starts)),
            "loaded, and it starts programs: " + starts);
      }
    } finally {
      vertx.close();
    }
  }

  private static String target(Path link) {
    try {
      return Files.readSymbolicLink(link).toString();
    } catch (IOException closed) {
      return ".jar";
    }
  }

  /**
   * While discovery is down clients that say nothing take every descriptor that they can, and come
   * again whenever one is closed. What is left is enough to hear of a store, to connect to it and
   * to serve a query; the process has no more than it is told.
   */
  @Test
  void idleClientsThatTakeEveryDescriptorLeaveThoseOfDiscoveryAndStores() throws Exception {
    org.junit.jupiter.api.Assumptions.assumeTrue(
        Files.isDirectory(Path.of("/proc/self/fd")), "descriptors are read in /proc");
    Vertx vertx = Vertx.vertx();
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    FrameStore store = new FrameStore(vertx, "s");
    Path file = dir.resolve("config.json");
    Files.writeString(
        file,
        "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
            + port
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":64},\"settings\":{\"FailureDomains\":[\"a\"],\"Classes\":[{\"Name\":\"a\","
            + "\"DeadlineUs\":1000000}],\"Limits\":{\"ConnectTimeoutUs\":250000,\"StreamsPerConn\":32}}}");
    Process broker =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n 200; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinhitch.cli.Main",
                "serve",
                "--config",
                file.toString())
            .redirectErrorStream(true)
            .start();
    List<Socket> crowd = new ArrayList<>();
    try (var reader = broker.inputReader()) {
      List<String> lines = read(reader, "n1 listens");
      String listens = lines.get(lines.size() - 1);
      int clients = Integer.parseInt(listens.substring(listens.lastIndexOf(':') + 1));
      for (int i = 0; i < 300; i++) {
        crowd.add(new Socket("127.0.0.1", clients));
      }
      try (Discovery discovery = new Discovery(vertx, port)) {
        discovery.list(Discovery.entry(store, "a", 0, "ready"));
        assertTrue(discovery.asked.poll(10, TimeUnit.SECONDS) != null, "discovery is reached");
        String body = Client.body(0);
        String said = "";
        for (int i = 0; i < 40 && !said.startsWith("HTTP/1.1 200"); i++) {
          try (Socket socket = new Socket("127.0.0.1", clients)) {
            crowd.add(new Socket("127.0.0.1", clients));
            socket.setSoTimeout(10_000);
            socket
                .getOutputStream()
                .write(
                    ("POST /a HTTP/1.1\r\nHost: x\r\nX-Trace-Id: q"
                            + i
                            + "\r\nConnection: close\r\nContent-Length: "
                            + body.getBytes(StandardCharsets.UTF_8).length
                            + "\r\n\r\n"
                            + body)
                        .getBytes(StandardCharsets.UTF_8));
            said = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
          }
        }
        assertTrue(said.startsWith("HTTP/1.1 200"), "it ends with " + said);
        try (var open =
            Files.list(
                Path.of(
                    "/proc",
                    Long.toString(broker.pid()),
                    "fd"))) { // the program is one jar, here it is many
          long held = 1 + open.filter(fd -> !target(fd).endsWith(".jar")).count();
          assertTrue(
              held >= 24 && held + 64 / 4 + 8 <= 64,
              "with all of the stores' share and some calls of discovery and operators: " + held);
        }
      }
      broker.toHandle().destroy();
      lines.addAll(read(reader, "faults"));
      assertFalse(
          lines.stream().anyMatch(line -> line.contains("Too many open files")), lines.toString());
      assertTrue(lines.contains("faults 0"), lines.toString());
    } finally {
      broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      for (Socket socket : crowd) {
        socket.close();
      }
      store.close();
      vertx.close();
    }
  }

  private static void hangUp(Process broker) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(broker.pid())).start().waitFor());
  }

  /**
   * A process that is started with SIGHUP ignored, {@code before} it the words that start it; the
   * lines up to one that begins so.
   */
  private List<String> underNohup(
      Path file, Discovery discovery, String before, String until, boolean hangUp)
      throws Exception {
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
      List<String> lines = read(reader, "n1 listens");
      if (hangUp) {
        hangUp(broker);
        lines.addAll(read(reader, until));
      }
      return lines;
    } finally {
      broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
  }

  /**
   * Roll days at full size, started by nohup: no broker heeded SIGHUP, all followed the discovery
   * that had closed, and sent to stores that the new one had withdrawn. A JVM leaves SIGHUP ignored
   * that was so at its start; the deploy file's words before it undo that, and without them the
   * broker says so.
   */
  @Test
  void aBrokerThatIsStartedByNohupHeedsTheSignalAllTheSame() throws Exception {
    String run =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String before = run.substring(run.indexOf("exec ") + 5, run.indexOf("java "));
    Vertx vertx = Vertx.vertx();
    try (Discovery discovery = new Discovery(vertx)) {
      discovery.list();
      Path file = dir.resolve("config.json");
      Files.writeString(file, config(discovery));
      List<String> lines = underNohup(file, discovery, before, "the configuration was taken", true);
      assertTrue(
          lines.stream().noneMatch(line -> line.startsWith("SIGHUP is ignored")), lines.toString());
      lines = underNohup(file, discovery, "", "", false);
      assertTrue(
          lines.stream().anyMatch(line -> line.startsWith("SIGHUP is ignored")), lines.toString());
    } finally {
      vertx.close();
    }
  }

  /**
   * SIGHUP ends a JVM that does not heed it. The file goes before the environment then; lists of
   * the new address are numbered anew, so its whole list comes first; a file that can not be read
   * changes nothing.
   */
  @Test
  void onHangUpDiscoveryIsFollowedToWhereTheFileSaysItIs() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (Discovery old = new Discovery(vertx);
        Discovery moved = new Discovery(vertx)) {
      for (int generation = 0; generation < 3; generation++) {
        old.list();
      }
      moved.list();
      Path file = dir.resolve("config.json");
      Files.writeString(file, config(moved));
      Process broker = start(file, old);
      try (var reader = broker.inputReader()) {
        read(reader, "n1 listens");
        assertEquals("/registry/instances?follow=1&since=0", old.asked.poll(5, TimeUnit.SECONDS));
        String whole = Files.readString(file);
        Files.writeString(file, whole.substring(0, 60));
        hangUp(broker);
        read(reader, "the configuration stays as it was");
        Files.writeString(file, whole);
        hangUp(broker);
        assertEquals("/registry/instances", moved.asked.poll(5, TimeUnit.SECONDS));
        assertEquals("/registry/instances?follow=1&since=1", moved.asked.poll(5, TimeUnit.SECONDS));
        broker.toHandle().destroy();
        List<String> lines = read(reader, "faults");
        assertTrue(lines.contains("discovery_moved 1") && lines.contains("bad_configurations 1"));
      }
      assertTrue(broker.waitFor(10, TimeUnit.SECONDS));
      assertEquals(0, broker.exitValue());
    } finally {
      vertx.close();
    }
  }

  /**
   * A broker whose configuration is a pipe: to open it for writing waits until the broker has
   * opened it for reading.
   */
  private Process startOn(Path pipe) throws Exception {
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

  /** Opened once the broker reads it; fails if the broker ends before. */
  private static OutputStream opened(Path pipe, Process broker) throws Exception {
    CompletableFuture<OutputStream> open =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return Files.newOutputStream(pipe);
              } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
              }
            },
            task -> new Thread(task).start());
    CompletableFuture.anyOf(open, broker.onExit()).get(20, TimeUnit.SECONDS);
    if (!open.isDone()) {
      new java.io.RandomAccessFile(pipe.toFile(), "rw").close(); // lets go of whoever waits
      open.get(5, TimeUnit.SECONDS).close();
    }
    assertTrue(broker.isAlive(), () -> "it ended: " + broker.exitValue());
    return open.get();
  }

  /**
   * SIGHUP comes while the start has the file open and has read nothing: it lives, reads the file
   * once more, and follows what that says.
   */
  @Test
  void aHangUpInTheFirstMomentsOfAStartIsHeededLater() throws Exception {
    Vertx vertx = Vertx.vertx();
    Path pipe = dir.resolve("config.json");
    Process broker = startOn(pipe);
    try (Discovery old = new Discovery(vertx);
        Discovery moved = new Discovery(vertx)) {
      old.list();
      moved.list();
      try (OutputStream first = opened(pipe, broker)) {
        Files.delete(pipe); // the next reading has a pipe of its own
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        hangUp(broker);
        first.write(config(old).getBytes(StandardCharsets.UTF_8));
      }
      try (OutputStream second = opened(pipe, broker)) {
        second.write(config(moved).getBytes(StandardCharsets.UTF_8));
      }
      assertEquals("/registry/instances", moved.asked.poll(10, TimeUnit.SECONDS));
    } finally {
      broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      vertx.close();
    }
  }

  /**
   * A start that fails ends as one: what starts processes reads the code, and "listens on
   * 127.0.0.1:null" and code 0 came after the grace.
   */
  @Test
  void aStartThatCannotListenSaysSoByItsCode() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (Discovery discovery = new Discovery(vertx);
        ServerSocket taken = new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
      Path pipe = dir.resolve("config.json");
      Process broker = startOn(pipe);
      try (OutputStream first = opened(pipe, broker)) {
        first.write(
            config(discovery)
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

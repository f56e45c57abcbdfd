import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: a temporary folder, the record, the broker as a process of its own with the
 * command of the deploy file, and clients. Everything that it started is ended when it is closed.
 */
final class Rig implements AutoCloseable {
  /** Exit codes of the virtual machine, none of which it uses itself; run.sh turns them into 0, 1 and 2. */
  static final int HELD = 10;
  static final int BROKEN = 11;
  static final int NOT_RUN = 12;

  /** The descriptors that a process of the broker may hold, in its configuration too. */
  static final int SOCKETS = 1024;

  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  /** An answer of the broker; status 0 if the connection ended without a whole answer. */
  record Answer(int status, String body) {
    Map<Integer, String> values() {
      Map<Integer, String> values = new TreeMap<>();
      Matcher matcher = PART.matcher(body);
      while (matcher.find()) {
        values.put(Integer.parseInt(matcher.group(1)), matcher.group(2));
      }
      return values;
    }

    boolean total() {
      return body.contains("\"total\":true");
    }
  }

  private static final Pattern PART =
      Pattern.compile("\\{\"range\":(\\d+),\"blob\":\"([^\"]*)\"\\}");

  final Path folder;
  private final Path root;
  private final PrintWriter record;
  private final List<Process> processes = new ArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();
  /** Where clients connect: the port of the socket that is descriptor 0, or a free one. */
  final int listen =
      System.getenv("CASE_PORT") == null ? freePort() : Integer.parseInt(System.getenv("CASE_PORT"));
  final int admin = freePort();

  Rig(Path caseFolder) throws IOException {
    root = caseFolder.toAbsolutePath().resolve("../..").normalize();
    folder = Files.createTempDirectory("case");
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    note("trouble " + (TROUBLE ? "on" : "off"));
  }

  /** Runs a case: the exit code is its result. */
  interface Case {
    int run(Rig rig) throws Exception;
  }

  static void main(String[] args, Case body) {
    int result = NOT_RUN;
    try (Rig rig = new Rig(Path.of(args[0]))) {
      try {
        result = body.run(rig);
      } catch (Exception e) {
        rig.note("the case could not run: " + e);
      }
      rig.note(result == HELD ? "HELD" : result == BROKEN ? "BROKEN" : "NOT RUN");
      System.out.println(result == HELD ? "held" : result == BROKEN ? "broken" : "not run");
    } catch (Exception e) {
      System.out.println("not run to the end: " + e);
    }
    Runtime.getRuntime().exit(result);
  }

  /** Writes into the record what a store was sent. */
  void noteParts(String store, List<Store.Part> parts) {
    for (Store.Part part : parts) {
      record.printf(
          Locale.ROOT, "%d %s was sent %s shard %d %s%n", part.atMs(), store, part.id(), part.shard(), part.list());
    }
  }

  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static long nowMs() {
    return System.currentTimeMillis();
  }

  synchronized void note(String line) {
    record.printf(Locale.ROOT, "%d %s%n", nowMs(), line);
  }

  /** The command `run` of the deploy file. */
  private String runCommand() throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!matcher.find()) {
      throw new IOException("the deploy file has no run command");
    }
    return matcher.group(1);
  }

  /** The settings of a small deployment: 2 cells, 8 shards, the two classes of the brief. */
  static String settings(long searchDeadlineUs, long bookingDeadlineUs) {
    return "{\"ReplicasOfMe\":1,\"FailureDomains\":[\"abdali-room\",\"tlaa-room\"],\"MyZone\":0,\"TickUs\":5000,"
        + "\"SelfIndex\":0,\"Discovery\":\"push\",\"Clients\":{\"MarksRetry\":false},"
        + "\"Classes\":[{\"Name\":\"free-search\",\"OnTimeUs\":" + searchDeadlineUs * 2 / 5
        + ",\"DeadlineUs\":" + searchDeadlineUs
        + ",\"Idempotency\":\"free\",\"Points\":3,\"LateWorth\":0.1},"
        + "{\"Name\":\"slot-booking\",\"OnTimeUs\":" + bookingDeadlineUs * 3 / 8
        + ",\"DeadlineUs\":" + bookingDeadlineUs
        + ",\"Idempotency\":\"guarded\",\"DedupWindowUs\":4000000,\"Points\":2,\"LateWorth\":0.3}],"
        + "\"Domain\":{\"Positions\":2,\"InARow\":1,\"Shards\":8,\"PerCall\":8,\"OverheadUs\":46000,"
        + "\"ClassNeed\":[1,1],\"FloorByClass\":[0.7,1],\"FollowUp\":[0,0],\"ShortWorth\":[0.9,0.9]},"
        + "\"Limits\":{\"MaxAttempts\":4,\"MostHeld\":297,\"MayCancel\":true,\"MayProbe\":true,\"ParallelTries\":false,"
        + "\"RetryAfter\":true,\"MaxRetryAfterUs\":500000,\"ConnectTimeoutUs\":250000,\"ConnIdleUs\":15000000,"
        + "\"StreamsPerConn\":32},"
        + "\"Report\":{\"Via\":\"answers\",\"Fields\":[\"recent_ms\",\"backlog\"]},"
        + "\"Rules\":{\"AnswerSlackUs\":20000,\"AskWithinUs\":10000000,\"DrainGraceUs\":250000,\"ColdFrom\":0.15,"
        + "\"WarmAfterUs\":17000000,\"OverloadFactor\":3,\"FallUs\":1500000}}";
  }

  /**
   * Starts a broker and waits until it is ready.
   *
   * @param own the product's own settings file, or null
   */
  Process startBroker(String settings, int discoveryPort, String own) throws Exception {
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + listen + "\",\"admin_addr\":\"127.0.0.1:" + admin
            + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + SOCKETS + "},"
            + "\"settings\":" + settings + "}");
    String command = runCommand();
    if (own != null) {
      Path file = folder.resolve("dunlinhitch.conf");
      Files.writeString(file, own);
      command += " --conf " + file;
    }
    return launch(command, config, admin, discoveryPort, false);
  }

  /**
   * Starts a process of a broker whose clients' socket is held by the platform: it is descriptor 0.
   * All processes that are started so share their folder.
   */
  Process startOnSharedSocket(String settings, int discoveryPort, int adminPort) throws Exception {
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + listen + "\",\"admin_addr\":\"127.0.0.1:" + adminPort
            + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + SOCKETS + "},"
            + "\"settings\":" + settings + "}");
    return launch(runCommand(), config, adminPort, discoveryPort, true);
  }

  private Process launch(String command, Path config, int adminPort, int discoveryPort, boolean shared)
      throws Exception {
    // the platform holds a process to `limits.sockets` descriptors
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + SOCKETS + "; " + command);
    if (shared) {
      builder.redirectInput(ProcessBuilder.Redirect.INHERIT);
      builder.environment().put("ROUTER_ACCEPT_FD", "0");
    }
    builder.directory(root.toFile());
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("ROUTER_NAME", "n0");
    builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + listen);
    builder.environment().put("ROUTER_ADMIN_ADDR", "127.0.0.1:" + adminPort);
    builder.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discoveryPort);
    builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("broker.log").toFile()));
    Process process = builder.start();
    processes.add(process);
    long untilMs = nowMs() + 30_000;
    while (nowMs() < untilMs && process.isAlive()) {
      if (shared ? get(adminPort, "/ready").status() == 200 : get(listen, "/health/ready").status() == 200) {
        note("the broker is ready" + (shared ? ", operators' port " + adminPort : ""));
        return process;
      }
      Thread.sleep(50);
    }
    throw new IOException("the broker did not become ready: " + Files.readString(folder.resolve("broker.log")));
  }

  /** What the broker wrote. */
  String brokerLog() throws IOException {
    return Files.readString(folder.resolve("broker.log"));
  }

  String nextId() {
    return "q" + Integer.toHexString(0x5000000 + ids.incrementAndGet());
  }

  private static Answer get(int port, String path) {
    try (Client client = new Client(port)) {
      return client.exchange("GET " + path + " HTTP/1.1\r\nHost: app.svc\r\n\r\n", 2000);
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }

  /** The text of a query for these shards with equal shares. */
  static String query(String queryClass, String id, double expiresS, int... shards) {
    StringBuilder ranges = new StringBuilder();
    for (int shard : shards) {
      ranges.append(ranges.length() == 0 ? "" : ",")
          .append("{\"range\":").append(shard).append(",\"portion\":").append(1.0 / shards.length).append('}');
    }
    String body = "{\"ranges\":[" + ranges + "],\"predicate\":\"altos\"}";
    return "POST /" + queryClass + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
        + (queryClass.equals("slot-booking") ? "\r\nIdempotency-Key: k" + id : "")
        + String.format(Locale.ROOT, "\r\nX-Expires-In: %.3f", expiresS)
        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** One connection of a client; one request at a time. */
  static final class Client implements AutoCloseable {
    private final Socket socket = new Socket();

    Client(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
    }

    void send(String request) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(request.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    /** Reads one whole answer; the status is 0 if there is none before the connection ends. */
    Answer read(int timeoutMs) throws IOException {
      socket.setSoTimeout(timeoutMs);
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          return new Answer(0, head.toString());
        }
        head.append((char) next);
      }
      Matcher length = Pattern.compile("(?i)content-length: *(\\d+)").matcher(head);
      byte[] body = in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
      return new Answer(Integer.parseInt(head.substring(9, 12)), new String(body, StandardCharsets.UTF_8));
    }

    Answer exchange(String request, int timeoutMs) throws IOException {
      send(request);
      return read(timeoutMs);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Sends a signal to a process that this rig started. */
  static void signal(Process process, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  private void endProcesses() {
    for (Process process : processes) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
  }

  @Override
  public void close() throws Exception {
    endProcesses();
    for (Process process : processes) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
    record.close();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}

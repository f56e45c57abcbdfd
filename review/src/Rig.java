import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** What the cases share: the record, stand-ins for discovery and stores, clients, and the broker as a process. */
final class Rig implements Closeable {
  static final byte[] LOOPBACK = {127, 0, 0, 1};
  private static final long START = System.nanoTime();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  final Path temporary;
  private final StringBuilder record = new StringBuilder();
  private final List<Closeable> toClose = new CopyOnWriteArrayList<>();

  Rig(String folder) throws IOException {
    this.folder = Path.of(folder);
    temporary = Files.createTempDirectory("review");
    daemon(() -> {
      Thread.sleep(110_000);
      fail(new IOException("the case took over 110 s"));
    });
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    say("trouble " + (trouble ? "on" : "off"));
  }

  synchronized void say(String line) {
    record.append(String.format("%9.3f %s%n", (System.nanoTime() - START) / 1e9, line));
  }

  static InetAddress loopback() throws IOException {
    return InetAddress.getByAddress(LOOPBACK);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
      return socket.getLocalPort();
    }
  }

  <T extends Closeable> T owned(T resource) {
    toClose.add(resource);
    return resource;
  }

  /** Ends everything, writes the record and exits: 1 if the rule was broken, 0 if it held. */
  void end(boolean broken, String verdict) throws IOException {
    say((broken ? "BROKEN: " : "HELD: ") + verdict);
    System.out.println((broken ? "BROKEN: " : "HELD: ") + verdict);
    close();
    synchronized (this) {
      Files.writeString(folder.resolve("record.txt"), record.toString());
    }
    Runtime.getRuntime().halt(broken ? 1 : 0);
  }

  /** Ends a case that could not run. */
  void fail(Throwable cause) {
    say("the case could not run: " + cause);
    cause.printStackTrace();
    close();
    try {
      Files.writeString(folder.resolve("record.txt"), record.toString());
    } catch (IOException e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().halt(2);
  }

  @Override
  public synchronized void close() {
    for (Closeable resource : toClose) {
      try {
        resource.close();
      } catch (IOException e) {
        // closed already
      }
    }
    toClose.clear();
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // gone already
    }
  }

  // ---- the broker

  /** A broker, started by the command of the deploy file. */
  final class Broker implements Closeable {
    final int port;
    final int adminPort;
    final Process process;
    private final Path log;

    Broker(String name, int discoveryPort, String settings, String known, Path root) throws Exception {
      port = freePort();
      adminPort = freePort();
      Path config = temporary.resolve(name + ".json");
      Files.writeString(
          config,
          "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"admin_addr\":\"127.0.0.1:" + adminPort
              + "\",\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
              + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
              + ",\"settings\":" + settings + "}");
      Path scratch = Files.createDirectory(temporary.resolve(name));
      log = temporary.resolve(name + ".log");
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root)).directory(root.toFile());
      Map<String, String> environment = builder.environment();
      environment.put("ROUTER_NAME", name);
      environment.put("ROUTER_LISTEN", "127.0.0.1:" + port);
      environment.put("ROUTER_ADMIN_ADDR", "127.0.0.1:" + adminPort);
      environment.put("ROUTER_DISCOVERY", "127.0.0.1:" + discoveryPort);
      environment.put("ROUTER_CONFIG", config.toString());
      environment.put("TMPDIR", scratch.toString());
      builder.redirectErrorStream(true).redirectOutput(log.toFile());
      process = builder.start();
      say("broker " + name + " started, listens on port " + port);
      toClose.add(this);
      long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
      while (true) {
        try (Client client = new Client(port)) {
          client.send("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
          if (client.read(2_000).status == 200) {
            break;
          }
        } catch (IOException e) {
          // not yet
        }
        if (System.nanoTime() > endNs || !process.isAlive()) {
          throw new IOException("the broker did not become ready: " + Files.readString(log));
        }
        Thread.sleep(100);
      }
      say("broker " + name + " ready");
    }

    String log() throws IOException {
      return Files.readString(log);
    }

    String stats() throws IOException {
      try (Client client = new Client(port)) {
        client.send("GET /stats HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        return client.read(5_000).body;
      }
    }

    @Override
    public void close() {
      try {
        if (Files.exists(log)) {
          say("log of the broker:\n" + Files.readString(log));
        }
      } catch (IOException e) {
        // no log
      }
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Further arguments of the run command, for a settings file of the product. */
  static String extra = "";

  private static String runCommand(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(7, line.indexOf('"', 7)) + extra;
      }
    }
    throw new IOException("the deploy file has no run");
  }

  // ---- clients

  /** The answer to a request; status 0 if the connection ended or the time was up without one. */
  record Answer(int status, String body, String why) {}

  /** One connection of a client. */
  static final class Client implements Closeable {
    final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(loopback(), port), 2_000);
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void send(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Sends a query. */
    void query(String path, String id, String expiresIn, String key, byte[] body) throws IOException {
      send(head(path, id, expiresIn, key, body.length));
      send(body);
    }

    static String head(String path, String id, String expiresIn, String key, int length) {
      return "POST /" + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Expires-In: " + expiresIn
          + "\r\n" + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Type: application/json\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Reads one answer. */
    Answer read(int timeoutMs) {
      try {
        long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
        String statusLine = line(endNs);
        int length = 0;
        boolean chunked = false;
        for (String header = line(endNs); !header.isEmpty(); header = line(endNs)) {
          String lower = header.toLowerCase();
          if (lower.startsWith("content-length:")) {
            length = Integer.parseInt(lower.substring(15).trim());
          } else if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) {
            chunked = true;
          }
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (chunked) {
          for (int size = Integer.parseInt(line(endNs).trim(), 16); size > 0; size = Integer.parseInt(line(endNs).trim(), 16)) {
            for (int i = 0; i < size; i++) {
              body.write(next(endNs));
            }
            line(endNs);
          }
          line(endNs);
        } else {
          for (int i = 0; i < length; i++) {
            body.write(next(endNs));
          }
        }
        return new Answer(Integer.parseInt(statusLine.split(" ")[1]), body.toString(StandardCharsets.UTF_8), "");
      } catch (IOException | RuntimeException e) {
        return new Answer(0, "", String.valueOf(e));
      }
    }

    private int next(long endNs) throws IOException {
      long leftMs = (endNs - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        throw new IOException("time up");
      }
      socket.setSoTimeout((int) leftMs);
      int read = in.read();
      if (read < 0) {
        throw new IOException("connection ended");
      }
      return read;
    }

    private String line(long endNs) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int read = next(endNs); read != '\n'; read = next(endNs)) {
        if (read != '\r') {
          line.append((char) read);
        }
      }
      return line.toString();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // ---- discovery

  /** Discovery's agent: the list, and watches with an empty line every 2 s. */
  final class Discovery implements Closeable {
    private final ServerSocket listener = new ServerSocket(0, 50, loopback());
    private final List<OutputStream> watches = new ArrayList<>();
    private final Map<String, String> entries = new ConcurrentHashMap<>();
    private int generation = 1;

    Discovery() throws IOException {
      toClose.add(this);
      daemon(() -> {
        while (!listener.isClosed()) {
          Socket socket = listener.accept();
          daemon(() -> serve(socket));
        }
      });
      daemon(() -> {
        while (!listener.isClosed()) {
          Thread.sleep(2_000);
          tell("\n");
        }
      });
    }

    int port() {
      return listener.getLocalPort();
    }

    static String entry(String id, int port, int cell, String state, String protocol) {
      return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"hall\",\"machineType\":\"m\",\"cell\":" + cell
          + ",\"lifecycle\":\"" + state + "\",\"weight\":1.0,\"startedAtMs\":0" + (protocol.isEmpty() ? "" : ",\"protocol\":\"" + protocol + "\"") + "}";
    }

    synchronized void put(String id, String entry) throws IOException {
      entries.put(id, entry);
      generation++;
      tell("{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + entry + "]}\n");
    }

    synchronized String list() {
      return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", entries.values()) + "]}\n";
    }

    private synchronized void tell(String text) {
      watches.removeIf(out -> {
        try {
          chunk(out, text);
          return false;
        } catch (IOException e) {
          return true;
        }
      });
    }

    private static void chunk(OutputStream out, String text) throws IOException {
      out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }

    private void serve(Socket socket) throws IOException {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int read = in.read();
        if (read < 0) {
          return;
        }
        head.append((char) read);
      }
      OutputStream out = socket.getOutputStream();
      out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      synchronized (this) {
        chunk(out, list());
        if (head.indexOf("follow=1") >= 0) {
          watches.add(out);
          return;
        }
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  // ---- stores that speak frames

  /** A part as it reached a store. */
  record Received(String store, String id, int shard, String list, byte[] text, long atNs) {}

  /** A store that answers each part at once with a value made of its name and the part. */
  final class FrameStore implements Closeable {
    final String name;
    final List<Received> received = new CopyOnWriteArrayList<>();
    private final ServerSocket listener = new ServerSocket(0, 500, loopback());
    Consumer<Received> onPart = part -> {};
    /** How long each part takes. */
    volatile int delayMs;

    FrameStore(String name) throws IOException {
      this.name = name;
      toClose.add(this);
      daemon(() -> {
        while (!listener.isClosed()) {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          daemon(() -> serve(socket));
        }
      });
    }

    int port() {
      return listener.getLocalPort();
    }

    private void serve(Socket socket) throws IOException {
      try (socket; DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
        OutputStream out = socket.getOutputStream();
        while (true) {
          byte[] body = new byte[Integer.reverseBytes(in.readInt())];
          in.readFully(body);
          switch (body[0]) {
            case 'o' -> out.write(frame("ogood"));
            case 'p' -> out.write(frame("platency_ms=1,queue=0"));
            case 'm' -> call(body, out);
            default -> { }
          }
          out.flush();
        }
      } catch (java.io.EOFException | java.net.SocketException e) {
        // the broker closed the connection
      }
    }

    private void call(byte[] body, OutputStream out) throws IOException {
      int at = 1;
      while (at < body.length) {
        int end = at;
        while (body[end] != '\n') {
          end++;
        }
        String[] fields = new String(body, at, end - at, StandardCharsets.UTF_8).split(" ");
        int length = Integer.parseInt(fields[3]);
        byte[] text = java.util.Arrays.copyOfRange(body, end + 1, end + 1 + length);
        at = end + 1 + length;
        Received part = new Received(name, fields[0], Integer.parseInt(fields[1]), fields[2], text, System.nanoTime());
        received.add(part);
        onPart.accept(part);
        if (delayMs > 0) {
          daemon(() -> {
            Thread.sleep(delayMs);
            answer(part, out);
          });
        } else {
          answer(part, out);
        }
      }
    }

    private static void answer(Received part, OutputStream out) throws IOException {
      synchronized (out) {
        out.write(frame("q" + part.id + " good 1 latency_ms=1,queue=0\n" + value(part)));
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  static String value(Received part) {
    return "slots of block " + part.shard + " for part " + part.id;
  }

  static byte[] frame(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(4 + bytes.length).order(ByteOrder.LITTLE_ENDIAN).putInt(bytes.length).put(bytes).array();
  }

  /** A task that may throw. */
  interface Task {
    void run() throws Exception;
  }

  static void daemon(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (Exception e) {
        // the peer or the case has ended
      }
    });
    thread.setDaemon(true);
    thread.start();
  }

  static String hex(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    for (byte b : bytes) {
      text.append(String.format("%02x ", b));
    }
    return text.toString().trim();
  }

  /** Settings like those of a small deployment: two cells with four blocks each. */
  static String settings(String classes, String domain, String limits) {
    return "{\"ReplicasOfMe\":1,\"SelfIndex\":0,\"FailureDomains\":[\"hall\"],\"MyZone\":0,\"TickUs\":5000,\"Classes\":[" + classes
        + "],\"Domain\":{" + domain + "},\"Limits\":{" + limits
        + "},\"Report\":{\"Via\":\"answers\",\"Fields\":[\"recent_ms\",\"backlog\"]},\"Discovery\":\"push\","
        + "\"Rules\":{\"AnswerSlackUs\":20000,\"DrainGraceUs\":250000,\"ColdFrom\":0.15,\"WarmAfterUs\":17000000,\"OverloadFactor\":3,\"FallUs\":1500000}}";
  }

  static final String CLASSES =
      "{\"Name\":\"free-search\",\"OnTimeUs\":1200000,\"DeadlineUs\":3000000,\"DedupWindowUs\":5000000,\"Idempotency\":\"free\",\"Group\":\"all\",\"Points\":3,\"LateWorth\":0.1,\"Streaming\":false},"
          + "{\"Name\":\"slot-booking\",\"OnTimeUs\":1500000,\"DeadlineUs\":4000000,\"DedupWindowUs\":4000000,\"Idempotency\":\"guarded\",\"Group\":\"all\",\"Points\":2,\"LateWorth\":0.3,\"Streaming\":false}";
  static final String DOMAIN =
      "\"Positions\":2,\"InARow\":1,\"Shards\":8,\"PerCall\":8,\"OverheadUs\":46000,\"ClassNeed\":[1,1],\"FloorByClass\":[0.7,1],\"FollowUp\":[0,0],\"ShortWorth\":[0.9,0.9]";
  static final String LIMITS =
      "\"MaxAttempts\":4,\"MostHeld\":297,\"MayCancel\":true,\"MayProbe\":true,\"ParallelTries\":false,\"RetryAfter\":true,\"MaxRetryAfterUs\":500000,\"ConnectTimeoutUs\":250000,\"ConnIdleUs\":15000000,\"StreamsPerConn\":32";
}

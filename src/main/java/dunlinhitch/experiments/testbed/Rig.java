package dunlinhitch.experiments.testbed;

import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Several processes of the real program on loopback, with stand-in stores and discovery, and a
 * proxy between every pair that can come to harm: broker and store, broker and discovery, broker
 * and broker. Every process is ended by its own id; nothing else is touched.
 */
public final class Rig implements AutoCloseable {
  private static final int READY_S = 40;
  private static final int LINES = 4_000;

  /** In the settings' form: two classes, short times, {@code %d} brokers, cells and shards. */
  @SuppressWarnings("InlineFormatString") // a text of its own reads better than within the call
  private static final String SETTINGS =
      """
            {"ReplicasOfMe":%d,"FailureDomains":["here"],"MyZone":0,"TickUs":5000,
             "Classes":[{"Name":"free-search","OnTimeUs":700000,"DeadlineUs":1500000,"Idempotency":"free","Points":3},
              {"Name":"slot-booking","OnTimeUs":700000,"DeadlineUs":1500000,"Idempotency":"guarded","DedupWindowUs":4000000,"Points":2}],
             "Domain":{"Positions":%d,"InARow":1,"Shards":%d,"PerCall":8},
             "Limits":{"MaxAttempts":4,"MostHeld":2000,"MayCancel":true,"MayProbe":true,"RetryAfter":true,"MaxRetryAfterUs":500000,
              "ConnectTimeoutUs":250000,"StreamsPerConn":32,"ConnIdleUs":15000000},
             "Rules":{"AnswerSlackUs":20000,"ColdFrom":0.15,"WarmAfterUs":17000000,"OverloadFactor":3,"FallUs":1500000,
              "DrainGraceUs":250000},
             "Report":{"Via":"answers","Fields":["recent_ms","backlog"]}}""";

  /** One broker. */
  public final class Node {
    public final String name;
    public final int httpPort;
    private final int wordPort;
    private final Path folder;
    private final Discovery discovery;
    private final StreamProxy toDiscovery;
    private final Map<String, StreamProxy> toStores = new LinkedHashMap<>();
    private final WordProxy ear;
    private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
    private Process process;
    private volatile boolean killed;

    private Node(int number) throws Exception {
      name = "n" + number;
      httpPort = FreePorts.tcp();
      wordPort = FreePorts.udp();
      folder = Files.createDirectory(dir.resolve(name));
      discovery = new Discovery(vertx);
      toDiscovery = new StreamProxy(vertx, links, name, "d", discovery.port());
      for (FrameStore store : stores) {
        toStores.put(store.name, new StreamProxy(vertx, links, name, store.name, store.port()));
      }
      ear = new WordProxy(vertx, links, name, wordPort);
      discovery.list(entries().toArray(String[]::new));
    }

    private List<String> entries() {
      return stores.stream().map(store -> entry(store.name)).toList();
    }

    private String entry(String store) {
      return Discovery.entry(
          store,
          toStores.get(store).port(),
          "here",
          cells.get(store),
          states.getOrDefault(store, "ready"),
          "frames");
    }

    /** What it said so far, the oldest lines dropped where they are many. */
    public List<String> lines() {
      synchronized (lines) {
        return List.copyOf(lines);
      }
    }

    /** Its last line of what it keeps to, or empty. */
    public String fleetLine() {
      List<String> all = lines();
      for (int i = all.size() - 1; i >= 0; i--) {
        if (all.get(i).startsWith("fleet of ")) {
          return all.get(i);
        }
      }
      return "";
    }

    /** The stores that it says it keeps to. */
    public List<String> kept() {
      String line = fleetLine();
      int at = line.lastIndexOf(" stores: ");
      return at < 0
          ? List.of()
          : Arrays.asList(line.substring(at + " stores: ".length()).split(" "));
    }

    /** The brokers that it says take part. */
    public List<String> members() {
      String line = fleetLine();
      int from = line.indexOf(": ");
      int to = line.indexOf("; keeps to ");
      return from < 0 || to < from
          ? List.of()
          : Arrays.asList(line.substring(from + 2, to).split(" "));
    }

    public boolean isUp() {
      return process != null && process.isAlive() && !killed;
    }

    /** Connections that it holds to that store. */
    public int openTo(String store) throws Exception {
      return onLoop(() -> toStores.get(store).open());
    }

    public void start() throws IOException {
      lines.clear();
      Path config = folder.resolve("config.json");
      Files.writeString(
          config,
          String.format(
              Locale.ROOT,
              "{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"127.0.0.1:%d\","
                  + "\"seed\":\"%x\",\"limits\":{\"sockets\":512},\"settings\":%s}",
              name,
              httpPort,
              toDiscovery.port(),
              seed + httpPort,
              String.format(Locale.ROOT, SETTINGS, nodes.size(), cellCount, cellCount)));
      Path conf = folder.resolve("dunlinhitch.conf");
      StringBuilder own =
          new StringBuilder(
              "[fleet]\nlisten 127.0.0.1:"
                  + wordPort
                  + "\nadvertise 127.0.0.1:"
                  + ear.port()
                  + "\n");
      nodes.stream()
          .limit(3)
          .forEach(other -> own.append("peer 127.0.0.1:").append(other.ear.port()).append('\n'));
      Files.writeString(conf, own + extra);
      ProcessBuilder builder =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-Xmx64m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "dunlinhitch.cli.Main",
                  "serve",
                  "--config",
                  config.toString(),
                  "--conf",
                  conf.toString())
              .redirectErrorStream(true);
      builder.environment().put("TMPDIR", folder.toString());
      process = builder.start();
      killed = false;
      Process of = process;
      Thread reader = new Thread(() -> read(of), "lines of " + name);
      reader.setDaemon(true);
      reader.start();
    }

    private void read(Process of) {
      try (BufferedReader reader = of.inputReader()) {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
          synchronized (lines) {
            if (lines.size() >= LINES) {
              lines.remove(0);
            }
            lines.add(line);
          }
        }
      } catch (IOException e) {
        // it was killed within a line
      }
    }

    /** SIGKILL. */
    public void kill() throws InterruptedException {
      killed = true; // before its connections end
      process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    /** SIGTERM. */
    public void terminate() {
      process.destroy();
    }
  }

  private final Path dir;
  private final long seed;
  private final int cellCount;
  private final String extra;
  private final Vertx vertx;
  public final Links links;
  private final List<FrameStore> stores = new ArrayList<>();
  private final Map<String, Integer> cells = new LinkedHashMap<>();

  /** What discovery says of stores that are not ready. */
  private final Map<String, String> states = new LinkedHashMap<>();

  private final List<Node> nodes = new ArrayList<>();

  /**
   * So many brokers, none started, before so many cells of so many stores; {@code extra}: further
   * lines of {@code [fleet]}.
   */
  public Rig(Path dir, long seed, int brokers, int cellCount, int each, String extra)
      throws Exception {
    this.dir = dir;
    this.seed = seed;
    this.cellCount = cellCount;
    this.extra = extra;
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    links = new Links(seed);
    for (int cell = 0; cell < cellCount; cell++) {
      for (int i = 0; i < each; i++) {
        FrameStore store = new FrameStore(vertx, "s" + cell + "-" + i);
        store.answerAfterMs = 5;
        stores.add(store);
        cells.put(store.name, cell);
      }
    }
    for (int i = 0; i < brokers; i++) {
      nodes.add(new Node(i));
    }
    for (Node to : nodes) {
      nodes.forEach(from -> to.ear.speaks(from.name, from.wordPort));
    }
  }

  public Vertx vertx() {
    return vertx;
  }

  public List<Node> nodes() {
    return nodes;
  }

  public List<FrameStore> stores() {
    return stores;
  }

  public int cells() {
    return cellCount;
  }

  /** Starts those and waits until all of them serve. */
  public void start(List<Node> some) throws Exception {
    for (Node node : some) {
      node.start();
    }
    for (Node node : some) {
      await(
          node.name + " serves",
          READY_S,
          () -> {
            if (!node.isUp()) {
              throw new IllegalStateException(node.name + " ended: " + node.lines());
            }
            return node.lines().stream()
                .anyMatch(line -> line.startsWith(node.name + " listens on "));
          });
    }
  }

  /** Waits until that is so, and says what it waited for if it never is. Seconds it took. */
  public static double await(String what, int atMostS, Callable<Boolean> so) throws Exception {
    long from = System.nanoTime();
    while (!so.call()) {
      if (System.nanoTime() - from > atMostS * 1_000_000_000L) {
        throw new IllegalStateException("not within " + atMostS + " s: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    return (System.nanoTime() - from) / 1e9;
  }

  /** True where all of those say that exactly they take part. */
  public static boolean agree(List<Node> some) {
    List<String> names = some.stream().map(node -> node.name).sorted().toList();
    return some.stream().allMatch(node -> node.members().equals(names));
  }

  /** Brokers of those that say they keep to each store. */
  public Map<String, Integer> load(Predicate<Node> who) {
    Map<String, Integer> load = new LinkedHashMap<>();
    stores.forEach(store -> load.put(store.name, 0));
    nodes.stream()
        .filter(who)
        .forEach(node -> node.kept().forEach(store -> load.merge(store, 1, Integer::sum)));
    return load;
  }

  /**
   * Every broker's discovery says that this store is in that state from now on, where word of it
   * can pass.
   */
  public void change(String store, String lifecycle) throws Exception {
    onLoop(
        () -> {
          states.put(store, lifecycle);
          nodes.forEach(node -> node.discovery.change(node.entries(), node.entry(store)));
          return null;
        });
  }

  /** Resets the connections of that broker to stores and discovery. */
  public void reset(Node node) throws Exception {
    onLoop(
        () -> {
          node.toStores.values().forEach(StreamProxy::reset);
          node.toDiscovery.reset();
          return null;
        });
  }

  /** Resets those of its connections that lost something, as a link does that comes back. */
  public void resetSilent(Node node) throws Exception {
    onLoop(
        () -> {
          node.toStores.values().forEach(StreamProxy::resetSilent);
          node.toDiscovery.resetSilent();
          return null;
        });
  }

  /** Does that on the loop of the proxies and stores. */
  public <T> T onLoop(Callable<T> what) throws Exception {
    java.util.concurrent.CompletableFuture<T> done = new java.util.concurrent.CompletableFuture<>();
    vertx
        .getOrCreateContext()
        .runOnContext(
            v -> {
              try {
                done.complete(what.call());
              } catch (Exception e) {
                done.completeExceptionally(e);
              }
            });
    return done.get(10, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    try {
      end();
    } catch (Exception e) {
      throw new IllegalStateException("the rig did not end: " + e, e);
    }
  }

  private void end() throws Exception {
    for (Node node : nodes) {
      if (node.isUp()) {
        node.kill();
      }
    }
    onLoop(
        () -> {
          for (Node node : nodes) {
            node.toStores.values().forEach(StreamProxy::close);
            node.toDiscovery.close();
            node.ear.close();
            node.discovery.close();
          }
          return null;
        });
    for (FrameStore store : stores) {
      store.close();
    }
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}

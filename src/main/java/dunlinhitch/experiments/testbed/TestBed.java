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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A multi-process test bed on loopback: brokers are processes of the real program, stores and
 * discovery are fakes. Fault-injecting proxies connect broker and store, broker and discovery, and
 * broker and broker. The test bed ends only processes that it has started.
 *
 * <p>Methods must be called on the thread of the test; proxies and fakes run on the event loop, see
 * {@link #onLoop}.
 */
public final class TestBed implements AutoCloseable {
  /** Maximum time from the start of a broker process until the broker listens. */
  private static final int READY_TIMEOUT_S = 40;

  /** Number of brokers that are configured as seeds of each broker. */
  private static final int SEED_COUNT = 3;

  /** Maximum number of output lines that are retained for each broker. */
  private static final int MAX_OUTPUT_LINES = 4_000;

  private static final List<String> SUSPICIOUS =
      List.of("OutOfMemoryError", "Exception", "fault:", "has been blocked");

  /** One broker process with its own discovery and proxies. */
  public final class Node {
    public final String name;
    public final int httpPort;

    /** The port of the operators' address, 0 if the broker has none. */
    public final int adminPort;

    private final int gossipPort;
    private final Path workingDirectory;
    private final Discovery discovery;
    private final StreamProxy discoveryProxy;
    private final Map<String, StreamProxy> storeProxies = new LinkedHashMap<>();
    private final GossipProxy gossipProxy;
    private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
    private Process process;
    private volatile boolean killed;

    private Node(int number) throws Exception {
      name = "n" + number;
      httpPort = FreePorts.tcp();
      adminPort = plan.launch().admin() ? FreePorts.tcp() : 0;
      gossipPort = FreePorts.udp();
      workingDirectory = Files.createDirectory(directory.resolve(name));
      discovery = new Discovery(vertx);
      discoveryProxy = new StreamProxy(vertx, links, name, "d", discovery.port());
      for (FrameStore store : stores) {
        storeProxies.put(store.name, new StreamProxy(vertx, links, name, store.name, store.port()));
      }
      gossipProxy = new GossipProxy(vertx, links, name, gossipPort);
      discovery.setList(endpointEntries().toArray(String[]::new));
    }

    private List<String> endpointEntries() {
      return stores.stream().map(store -> endpointEntry(store.name)).toList();
    }

    private String endpointEntry(String store) {
      return Discovery.entry(
          store,
          storeProxies.get(store).port(),
          "here",
          cells.get(store),
          lifecycles.getOrDefault(store, "ready"),
          "frames");
    }

    /** Returns the output of the broker so far, at most the last 4000 lines. */
    public List<String> lines() {
      synchronized (lines) {
        return List.copyOf(lines);
      }
    }

    /** Returns the output lines that tell of refused memory, unhandled errors or a stalled loop. */
    public List<String> suspiciousLines() {
      return lines().stream().filter(line -> SUSPICIOUS.stream().anyMatch(line::contains)).toList();
    }

    /** Returns the latest output line about the cluster and the broker's subset, or empty. */
    public String fleetLine() {
      List<String> all = lines();
      for (int i = all.size() - 1; i >= 0; i--) {
        if (all.get(i).startsWith("fleet of ")) {
          return all.get(i);
        }
      }
      return "";
    }

    /** Returns the stores of the broker's subset, from its latest cluster line. */
    public List<String> kept() {
      String line = fleetLine();
      int at = line.lastIndexOf(" stores: ");
      return at < 0
          ? List.of()
          : Arrays.asList(line.substring(at + " stores: ".length()).split(" "));
    }

    /** Returns the cluster members, from the broker's latest cluster line. */
    public List<String> members() {
      String line = fleetLine();
      int from = line.indexOf(": ");
      int to = line.indexOf("; keeps to ");
      return from < 0 || to < from
          ? List.of()
          : Arrays.asList(line.substring(from + 2, to).split(" "));
    }

    /** Returns true while the process runs and {@link #kill} has not been called. */
    public boolean isUp() {
      return process != null && process.isAlive() && !killed;
    }

    /** Returns the number of the broker's open connections to a store. */
    public int openConnections(String store) throws Exception {
      return onLoop(() -> storeProxies.get(store).open());
    }

    /** Starts the process; does not wait until the broker listens. */
    public void start() throws IOException {
      lines.clear();
      Path config = workingDirectory.resolve("config.json");
      Files.writeString(config, configText());
      String[] arguments = {};
      if (plan.cluster() != null) {
        Path conf = workingDirectory.resolve("dunlinhitch.conf");
        Files.writeString(conf, clusterSection() + plan.cluster());
        arguments = new String[] {"--conf", conf.toString()};
      }
      ProcessBuilder builder =
          new ProcessBuilder(plan.launch().command(arguments)).redirectErrorStream(true);
      builder.environment().put("TMPDIR", Files.createDirectories(scratchFolder()).toString());
      builder.environment().put("ROUTER_CONFIG", config.toString());
      process = builder.start();
      killed = false;
      Process started = process;
      Thread reader = new Thread(() -> readOutput(started), "lines of " + name);
      reader.setDaemon(true);
      reader.start();
    }

    private String configText() {
      return String.format(
          Locale.ROOT,
          "{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",%s\"discovery\":\"127.0.0.1:%d\","
              + "\"seed\":\"%x\",\"limits\":%s,\"settings\":%s}",
          name,
          httpPort,
          adminPort == 0 ? "" : "\"admin_addr\":\"127.0.0.1:" + adminPort + "\",",
          discoveryProxy.port(),
          seed + httpPort,
          plan.launch().limits(),
          String.format(Locale.ROOT, plan.settings(), nodes.size(), cellCount, cellCount));
    }

    private String clusterSection() {
      StringBuilder section =
          new StringBuilder(
              "[fleet]\nlisten 127.0.0.1:"
                  + gossipPort
                  + "\nadvertise 127.0.0.1:"
                  + gossipProxy.port()
                  + "\n");
      nodes.stream()
          .limit(SEED_COUNT)
          .forEach(
              seedNode ->
                  section
                      .append("peer 127.0.0.1:")
                      .append(seedNode.gossipProxy.port())
                      .append('\n'));
      return section.toString();
    }

    private void readOutput(Process source) {
      try (BufferedReader reader = source.inputReader()) {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
          synchronized (lines) {
            if (lines.size() >= MAX_OUTPUT_LINES) {
              lines.remove(0);
            }
            lines.add(line);
          }
        }
      } catch (IOException e) {
        // the process was killed while it wrote a line
      }
    }

    /** Ends the process with SIGKILL and waits for its end. */
    public void kill() throws InterruptedException {
      killed = true; // set before the process ends: clients call isUp when their connections close
      process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    /** Returns the folder that the process gets as {@code $TMPDIR}; nothing else writes to it. */
    public Path scratchFolder() {
      return workingDirectory.resolve("tmp");
    }

    /** Returns the id of the process. */
    public long processId() {
      return process.pid();
    }

    /** Sends a signal such as {@code HUP} to the process, without waiting for its effect. */
    public void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Rewrites the configuration file of the broker with the same content. */
    public void rewriteConfiguration() throws IOException {
      Files.writeString(workingDirectory.resolve("config.json"), configText());
    }

    /** Forwards the bytes held between discovery and this broker; for use on the event loop. */
    public void releaseDiscovery() {
      discoveryProxy.release();
    }

    /** Returns the proxy between this broker and a store, for use on the event loop. */
    public StreamProxy proxyTo(String store) {
      return storeProxies.get(store);
    }

    /** Sends SIGTERM to the process; does not wait for its end. */
    public void terminate() {
      process.destroy();
    }
  }

  private final Path directory;
  private final long seed;
  private final int cellCount;
  private final TestBedPlan plan;
  private final Vertx vertx;
  public final NetworkFaults links;
  private final List<FrameStore> stores = new ArrayList<>();
  private final Map<String, Integer> cells = new LinkedHashMap<>();

  /** The announced lifecycle by store; a store without an entry is announced as ready. */
  private final Map<String, String> lifecycles = new LinkedHashMap<>();

  private final List<Node> nodes = new ArrayList<>();

  /**
   * Starts the fakes and proxies, but no broker.
   *
   * @param directory parent of the brokers' working directories
   * @param seed random seed of the brokers and of the injected faults
   * @param each number of stores in each cell
   * @param extra further lines of the section {@code [fleet]} of each broker's configuration
   */
  public TestBed(Path directory, long seed, int brokers, int cellCount, int each, String extra)
      throws Exception {
    this(
        directory,
        seed,
        new TestBedPlan(
            brokers,
            cellCount,
            each,
            TestBedPlan.STANDARD_SETTINGS,
            extra,
            TestBed::createStandardStore));
  }

  private static FrameStore createStandardStore(Vertx vertx, String name) throws Exception {
    FrameStore store = new FrameStore(vertx, name);
    store.answerDelayMs = 5;
    return store;
  }

  /**
   * Starts the fakes and proxies, but no broker.
   *
   * @param directory parent of the brokers' working directories
   * @param seed random seed of the brokers and of the injected faults
   */
  public TestBed(Path directory, long seed, TestBedPlan plan) throws Exception {
    this.directory = directory;
    this.seed = seed;
    this.plan = plan;
    cellCount = plan.cells();
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    links = new NetworkFaults(seed);
    for (int cell = 0; cell < cellCount; cell++) {
      for (int i = 0; i < plan.storesPerCell(); i++) {
        FrameStore store = plan.stores().create(vertx, "s" + cell + "-" + i);
        stores.add(store);
        cells.put(store.name, cell);
      }
    }
    for (int i = 0; i < plan.brokers(); i++) {
      nodes.add(new Node(i));
    }
    for (Node to : nodes) {
      nodes.forEach(from -> to.gossipProxy.registerSender(from.name, from.gossipPort));
    }
  }

  /**
   * Returns true if an output line tells of refused memory, an unhandled error or a stalled loop.
   */
  static boolean isSuspicious(String line) {
    return SUSPICIOUS.stream().anyMatch(line::contains);
  }

  /** Returns the Vert.x instance of the proxies and fakes, which has one event loop. */
  public Vertx vertx() {
    return vertx;
  }

  /** Returns all brokers, whether they run or not. */
  public List<Node> nodes() {
    return nodes;
  }

  /** Returns all fake stores. */
  public List<FrameStore> stores() {
    return stores;
  }

  /** Returns the number of cells. */
  public int cells() {
    return cellCount;
  }

  /** Starts these brokers and waits until all of them listen. */
  public void start(List<Node> brokers) throws Exception {
    for (Node node : brokers) {
      node.start();
    }
    for (Node node : brokers) {
      await(
          node.name + " listens",
          READY_TIMEOUT_S,
          () -> {
            if (!node.isUp()) {
              throw new IllegalStateException(
                  node.name + " exited before it listened; output: " + node.lines());
            }
            return node.lines().stream()
                .anyMatch(line -> line.startsWith(node.name + " listens on "));
          });
    }
  }

  /**
   * Polls a condition until the condition holds.
   *
   * @param what description of the condition for the exception
   * @return seconds until the condition held
   * @throws IllegalStateException if the condition does not hold within {@code atMostS} seconds
   */
  public static double await(String what, int atMostS, Callable<Boolean> condition)
      throws Exception {
    long from = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - from > atMostS * 1_000_000_000L) {
        throw new IllegalStateException("condition not met within " + atMostS + " s: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    return (System.nanoTime() - from) / 1e9;
  }

  /** Returns true if the member list of each broker consists of exactly these brokers. */
  public static boolean agree(List<Node> brokers) {
    List<String> names = brokers.stream().map(node -> node.name).sorted().toList();
    return brokers.stream().allMatch(node -> node.members().equals(names));
  }

  /** Returns, by store, how many brokers accepted by {@code who} have the store in their subset. */
  public Map<String, Integer> load(Predicate<Node> who) {
    Map<String, Integer> load = new LinkedHashMap<>();
    stores.forEach(store -> load.put(store.name, 0));
    nodes.stream()
        .filter(who)
        .forEach(node -> node.kept().forEach(store -> load.merge(store, 1, Integer::sum)));
    return load;
  }

  /**
   * Announces a new lifecycle of a store through every broker's discovery; an injected fault may
   * prevent a broker from receiving it.
   */
  public void change(String store, String lifecycle) throws Exception {
    onLoop(
        () -> {
          lifecycles.put(store, lifecycle);
          nodes.forEach(
              node -> node.discovery.pushChange(node.endpointEntries(), node.endpointEntry(store)));
          return null;
        });
  }

  /** Resets a broker's connections to stores and discovery. */
  public void reset(Node node) throws Exception {
    onLoop(
        () -> {
          node.storeProxies.values().forEach(StreamProxy::reset);
          node.discoveryProxy.reset();
          return null;
        });
  }

  /** Resets the broker's connections that lost bytes, as a network does after a partition heals. */
  public void resetStalled(Node node) throws Exception {
    onLoop(
        () -> {
          node.storeProxies.values().forEach(StreamProxy::resetStalled);
          node.discoveryProxy.resetStalled();
          return null;
        });
  }

  /** Runs a task on the event loop of proxies and fakes and waits up to 10 s for its result. */
  public <T> T onLoop(Callable<T> task) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    vertx
        .getOrCreateContext()
        .runOnContext(
            v -> {
              try {
                done.complete(task.call());
              } catch (Exception e) {
                done.completeExceptionally(e);
              }
            });
    return done.get(10, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    try {
      stopAll();
    } catch (Exception e) {
      throw new IllegalStateException("test bed did not shut down: " + e, e);
    }
  }

  private void stopAll() throws Exception {
    for (Node node : nodes) {
      if (node.isUp()) {
        node.kill();
      }
    }
    onLoop(
        () -> {
          for (Node node : nodes) {
            node.storeProxies.values().forEach(StreamProxy::close);
            node.discoveryProxy.close();
            node.gossipProxy.close();
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

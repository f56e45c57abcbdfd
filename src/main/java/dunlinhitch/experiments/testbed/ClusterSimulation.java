package dunlinhitch.experiments.testbed;

import dunlinhitch.cluster.ClusterCoordinator;
import dunlinhitch.cluster.ClusterSettings;
import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * A discrete-event model of a cluster: it runs the real {@link ClusterCoordinator} of each broker,
 * in virtual time, on a simulated network. A message takes 0.2 to 2 ms, is lost with probability
 * {@code loss} and is dropped between partitions. Wall clocks differ by up to 20 ms. A seed
 * determines the whole run.
 *
 * <p>Not thread-safe.
 */
public final class ClusterSimulation {
  private static final long MIN_DELAY_US = 200;
  private static final long MAX_DELAY_US = 2_000;
  private static final long MAX_CLOCK_OFFSET_US = 20_000;
  private static final int BASE_PORT = 7000;

  /** Wall clock at the start of a run, in microseconds since 1970; an arbitrary time. */
  private static final long WALL_CLOCK_START_US = 1_796_000_000_000_000L;

  /** One broker of the model. */
  public final class Node implements ClusterCoordinator.Listener {
    public final String name;
    private final int number;
    private final long clockOffsetUs;
    private ClusterCoordinator coordinator;
    private boolean up;
    private long timerUs = Long.MAX_VALUE;
    private int partition;

    /** Stores to which this broker sent health checks, in order. */
    private final List<String> probed = new ArrayList<>();

    /**
     * Number of health checks that other brokers performed for this broker and that ended with an
     * observation of the store.
     */
    private int reportedHealthChecks;

    /**
     * Number of health checks that other brokers were to perform for this broker and that ended
     * without an observation of the store.
     */
    private int unreportedHealthChecks;

    private Node(int number) {
      this.number = number;
      name = "n" + number;
      clockOffsetUs = random.nextLong(-MAX_CLOCK_OFFSET_US, MAX_CLOCK_OFFSET_US);
    }

    /** Returns the coordinator of the broker's current process, or null before the first start. */
    public ClusterCoordinator coordinator() {
      return coordinator;
    }

    /** Returns true while the broker runs. */
    public boolean isUp() {
      return up;
    }

    /**
     * Returns the number of health checks that other brokers performed for this broker and that
     * ended with an observation of the store.
     */
    public int reportedHealthChecks() {
      return reportedHealthChecks;
    }

    /**
     * Returns the number of health checks that other brokers were to perform for this broker and
     * that ended without an observation of the store.
     */
    public int unreportedHealthChecks() {
      return unreportedHealthChecks;
    }

    private long wallClockUs() {
      return WALL_CLOCK_START_US + time.nowUs() + clockOffsetUs;
    }

    private void onTimer() {
      if (up) {
        coordinator.onTime(time.nowUs(), wallClockUs());
        scheduleTimer();
      }
    }

    private void scheduleTimer() {
      long next = Math.max(time.nowUs() + 1, coordinator.nextUs(time.nowUs(), wallClockUs()));
      if (next < timerUs) {
        timerUs = next;
        ClusterCoordinator scheduledFor = coordinator;
        at(
            next,
            () -> {
              if (coordinator == scheduledFor && timerUs == next) {
                timerUs = Long.MAX_VALUE;
                onTimer();
              }
            });
      }
    }

    private void onMessage(GossipMessage message) {
      if (up) {
        coordinator.onMessage(time.nowUs(), wallClockUs(), message);
        scheduleTimer();
      }
    }

    /** Requests a health check of a store, as the load balancer does. */
    public void requestHealthCheck(String store) {
      if (up) {
        if (coordinator.mayHealthCheck(wallClockUs(), store)) {
          startHealthCheck(store);
        }
        scheduleTimer();
      }
    }

    /** Reports the end of an attempt at a store. */
    public void onAttempt(String store, boolean answered) {
      if (up) {
        coordinator.onAttempt(
            wallClockUs(), store, answered, answered ? List.of(5f, 1f) : List.of());
        scheduleTimer();
      }
    }

    @Override
    public void send(String host, int port, GossipMessage message) {
      Node to = nodes.get(port - BASE_PORT);
      messageCount++;
      if (partition == to.partition && random.nextDouble() >= loss) {
        at(
            time.nowUs() + random.nextLong(MIN_DELAY_US, MAX_DELAY_US),
            () -> {
              if (partition == to.partition) {
                to.onMessage(message);
              }
            });
      }
    }

    @Override
    public void selectEndpoints(Set<String> stores) {
      // not needed: callers read the selection from the coordinator
    }

    @Override
    public void startHealthCheck(String store) {
      probed.add(store);
      probes.add(new HealthCheck(time.nowUs(), store, name));
      boolean answers = healthChecksSucceed;
      at(
          time.nowUs() + MAX_DELAY_US,
          () -> {
            if (up) {
              coordinator.onHealthCheckCompleted(
                  wallClockUs(), store, answers, answers ? List.of(5f, 1f) : List.of());
              scheduleTimer();
            }
          });
    }

    @Override
    public void healthCheckEnded(String store, EndpointObservation observation) {
      if (observation == null) {
        unreportedHealthChecks++;
      } else {
        reportedHealthChecks++;
      }
    }
  }

  /** A health check that broker {@code by} sent to a store. */
  public record HealthCheck(long atUs, String store, String by) {}

  private final SplittableRandom random;
  private final ClusterSettings settings;
  private final VirtualTime time = new VirtualTime();
  private final List<Node> nodes = new ArrayList<>();
  private final List<HealthCheck> probes = new ArrayList<>();
  private final Map<String, ClusterCoordinator.ListedEndpoint> stores = new LinkedHashMap<>();
  private final double loss;
  private boolean healthChecksSucceed = true;
  private long messageCount;

  /** Creates brokers without starting them. */
  public ClusterSimulation(long seed, int brokers, double loss, ClusterSettings settings) {
    random = new SplittableRandom(seed);
    this.settings = settings;
    this.loss = loss;
    for (int i = 0; i < brokers; i++) {
      nodes.add(new Node(i));
    }
  }

  /** Returns all brokers, whether they run or not. */
  public List<Node> nodes() {
    return nodes;
  }

  /** Returns all health checks so far, in order. */
  public List<HealthCheck> probes() {
    return probes;
  }

  /** Returns the virtual time in microseconds. */
  public long nowUs() {
    return time.nowUs();
  }

  /** Returns the number of messages sent so far, including lost ones. */
  public long messageCount() {
    return messageCount;
  }

  /** Sets whether stores answer health checks that start from now on. */
  public void healthChecksSucceed(boolean succeed) {
    healthChecksSucceed = succeed;
  }

  /**
   * Adds cells with {@code each} stores per cell. Brokers that start from now on have these stores
   * in their endpoint lists.
   */
  public void stores(int cells, int each) {
    for (int cell = 0; cell < cells; cell++) {
      for (int i = 0; i < each; i++) {
        String name = "s" + cell + "-" + i;
        stores.put(name, new ClusterCoordinator.ListedEndpoint(name, "c" + cell, "", 0, true));
      }
    }
  }

  /** Returns the names of all stores. */
  public Set<String> stores() {
    return stores.keySet();
  }

  /** Starts a broker, or restarts a broker without its earlier state. */
  public void start(int number) {
    Node node = nodes.get(number);
    node.up = true;
    node.timerUs = Long.MAX_VALUE;
    List<MembershipProtocol.Seed> seeds =
        nodes.stream()
            .limit(8)
            .map(seed -> new MembershipProtocol.Seed("127.0.0.1", BASE_PORT + seed.number))
            .toList();
    node.coordinator =
        new ClusterCoordinator(
            new Member(
                node.name,
                "",
                "127.0.0.1",
                BASE_PORT + number,
                (WALL_CLOCK_START_US + time.nowUs()) / 1000,
                Member.Status.ALIVE),
            seeds,
            settings,
            random.nextLong(),
            time.nowUs(),
            node);
    node.coordinator.onEndpointsChanged(time.nowUs(), stores.values(), List.of());
    node.scheduleTimer();
  }

  /** Crashes a broker. */
  public void kill(int number) {
    nodes.get(number).up = false;
  }

  /** Stops a broker gracefully. */
  public void leave(int number) {
    nodes.get(number).coordinator.leave();
    nodes.get(number).up = false;
  }

  /** Moves a broker into partition {@code group}; messages between partitions are lost. */
  public void group(int number, int group) {
    nodes.get(number).partition = group;
  }

  /** Schedules a task at a virtual time. */
  public void at(long atUs, Runnable task) {
    time.at(atUs, task);
  }

  /** Runs all tasks that are scheduled until the virtual time {@code untilUs}. */
  public void playTo(long untilUs) {
    time.playTo(untilUs);
  }

  /**
   * Returns true if the member list of each running broker of a partition consists of exactly the
   * running brokers of the partition.
   */
  public boolean agree(int group) {
    Set<String> all = new TreeSet<>();
    nodes.stream()
        .filter(node -> node.up && node.partition == group)
        .forEach(node -> all.add(node.name));
    return nodes.stream()
        .filter(node -> node.up && node.partition == group)
        .allMatch(node -> node.coordinator.members().equals(all));
  }

  /** Returns, for each store, the number of running brokers that have the store in their subset. */
  public Map<String, Integer> load() {
    Map<String, Integer> load = new LinkedHashMap<>();
    stores.keySet().forEach(store -> load.put(store, 0));
    nodes.stream()
        .filter(node -> node.up)
        .forEach(
            node ->
                node.coordinator
                    .selectedEndpoints()
                    .forEach(store -> load.merge(store, 1, Integer::sum)));
    return load;
  }

  /** Returns the ratio of the maximum to the mean load of the stores. */
  public static double unevenness(Map<String, Integer> load) {
    double mean = load.values().stream().mapToInt(i -> i).average().orElse(0);
    return mean == 0 ? 1 : load.values().stream().mapToInt(i -> i).max().orElse(0) / mean;
  }

  /**
   * Counts the connections that exist in the larger cluster but not in the smaller one. Returns
   * this count divided by the mean number of connections of a broker in the larger cluster. Both
   * maps contain the stores that each broker is connected to, by broker.
   */
  public static double moved(Map<String, Set<String>> larger, Map<String, Set<String>> smaller) {
    long lost = 0;
    long all = 0;
    for (Map.Entry<String, Set<String>> broker : larger.entrySet()) {
      all += broker.getValue().size();
      Set<String> retained = smaller.getOrDefault(broker.getKey(), Set.of());
      lost += broker.getValue().stream().filter(store -> !retained.contains(store)).count();
    }
    return lost / ((double) all / larger.size());
  }

  /**
   * Returns the maximum number of health checks that one store received within any one second after
   * {@code fromUs}.
   */
  public long mostProbesInASecond(long fromUs) {
    long max = 0;
    for (HealthCheck first : probes) {
      if (first.atUs() >= fromUs) {
        max =
            Math.max(
                max,
                probes.stream()
                    .filter(
                        check ->
                            check.store().equals(first.store())
                                && check.atUs() >= first.atUs()
                                && check.atUs() < first.atUs() + 1_000_000)
                    .count());
      }
    }
    return max;
  }
}

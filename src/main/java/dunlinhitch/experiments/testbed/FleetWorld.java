package dunlinhitch.experiments.testbed;

import dunlinhitch.cluster.ClusterCoordinator;
import dunlinhitch.cluster.ClusterSettings;
import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Many brokers' fleet modules on virtual time: the real module, a model of the network between
 * them. A word takes 0.2 to 2 ms, is lost with {@code loss}, and crosses no cut. Brokers' clocks of
 * the day differ by up to 20 ms. One seed, one course of events.
 */
public final class FleetWorld {
  private static final long LEAST_DELAY_US = 200;
  private static final long MOST_DELAY_US = 2_000;
  private static final long MOST_OFFSET_US = 20_000;
  private static final int PORT = 7000;

  /** The day's clock at the beginning: any time will do. */
  private static final long DAY_US = 1_796_000_000_000_000L;

  private record Step(long atUs, long order, Runnable what) {}

  /** One broker. */
  public final class Node implements ClusterCoordinator.Out {
    public final String name;
    private final int number;
    private final long offsetUs;
    private ClusterCoordinator fleet;
    private boolean up;
    private long wakeUs = Long.MAX_VALUE;
    private int group;

    /** Probes that it made, by store. */
    private final List<String> probed = new ArrayList<>();

    /** Probes that it left to others and that came to a report, and to nothing. */
    private int told;

    private int untold;

    private Node(int number) {
      this.number = number;
      name = "n" + number;
      offsetUs = random.nextLong(-MOST_OFFSET_US, MOST_OFFSET_US);
    }

    public ClusterCoordinator fleet() {
      return fleet;
    }

    public boolean isUp() {
      return up;
    }

    /** Probes that were left to others and came to a report. */
    public int told() {
      return told;
    }

    public int untold() {
      return untold;
    }

    private long dayUs() {
      return DAY_US + now + offsetUs;
    }

    private void passed() {
      if (up) {
        fleet.onTime(now, dayUs());
        wake();
      }
    }

    private void wake() {
      long next = Math.max(now + 1, fleet.nextUs(now, dayUs()));
      if (next < wakeUs) {
        wakeUs = next;
        ClusterCoordinator of = fleet;
        at(
            next,
            () -> {
              if (fleet == of && wakeUs == next) {
                wakeUs = Long.MAX_VALUE;
                passed();
              }
            });
      }
    }

    private void heard(GossipMessage word) {
      if (up) {
        fleet.onMessage(now, dayUs(), word);
        wake();
      }
    }

    /** The decisions want that store probed. */
    public void wantProbe(String store) {
      if (up) {
        if (fleet.mayHealthCheck(dayUs(), store)) {
          startHealthCheck(store);
        }
        wake();
      }
    }

    /** An attempt at that store came to an end. */
    public void saw(String store, boolean answered) {
      if (up) {
        fleet.onAttempt(dayUs(), store, answered, answered ? List.of(5f, 1f) : List.of());
        wake();
      }
    }

    @Override
    public void send(String host, int port, GossipMessage word) {
      Node to = nodes.get(port - PORT);
      words++;
      if (group == to.group && random.nextDouble() >= loss) {
        at(
            now + random.nextLong(LEAST_DELAY_US, MOST_DELAY_US),
            () -> {
              if (group == to.group) {
                to.heard(word);
              }
            });
      }
    }

    @Override
    public void selectEndpoints(Set<String> stores) {
      // asked of the module where it is wanted
    }

    @Override
    public void startHealthCheck(String store) {
      probed.add(store);
      probes.add(new Probe(now, store, name));
      boolean answers = answering;
      at(
          now + MOST_DELAY_US,
          () -> {
            if (up) {
              fleet.onHealthCheckCompleted(
                  dayUs(), store, answers, answers ? List.of(5f, 1f) : List.of());
              wake();
            }
          });
    }

    @Override
    public void healthCheckEnded(String store, EndpointObservation seen) {
      if (seen == null) {
        untold++;
      } else {
        told++;
      }
    }
  }

  /** A probe that a broker made. */
  public record Probe(long atUs, String store, String by) {}

  private final SplittableRandom random;
  private final ClusterSettings settings;
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparingLong(Step::atUs).thenComparingLong(Step::order));
  private final List<Node> nodes = new ArrayList<>();
  private final List<Probe> probes = new ArrayList<>();
  private final Map<String, ClusterCoordinator.ListedEndpoint> stores = new LinkedHashMap<>();
  private final double loss;
  private boolean answering = true;
  private long now;
  private long order;
  private long words;

  /** So many brokers, none of them started. */
  public FleetWorld(long seed, int brokers, double loss, ClusterSettings settings) {
    random = new SplittableRandom(seed);
    this.settings = settings;
    this.loss = loss;
    for (int i = 0; i < brokers; i++) {
      nodes.add(new Node(i));
    }
  }

  public List<Node> nodes() {
    return nodes;
  }

  public List<Probe> probes() {
    return probes;
  }

  public long nowUs() {
    return now;
  }

  /** Words sent so far. */
  public long words() {
    return words;
  }

  /** Whether stores answer probes. */
  public void answering(boolean does) {
    answering = does;
  }

  /** So many cells of so many stores, known to all that start from now on. */
  public void stores(int cells, int each) {
    for (int cell = 0; cell < cells; cell++) {
      for (int i = 0; i < each; i++) {
        String name = "s" + cell + "-" + i;
        stores.put(name, new ClusterCoordinator.ListedEndpoint(name, "c" + cell, "", 0, true));
      }
    }
  }

  public Set<String> stores() {
    return stores.keySet();
  }

  /** Starts a broker, or starts it again with nothing known. */
  public void start(int number) {
    Node node = nodes.get(number);
    node.up = true;
    node.wakeUs = Long.MAX_VALUE;
    List<MembershipProtocol.Seed> seeds =
        nodes.stream()
            .limit(8)
            .map(n -> new MembershipProtocol.Seed("127.0.0.1", PORT + n.number))
            .toList();
    node.fleet =
        new ClusterCoordinator(
            new Member(
                node.name,
                "",
                "127.0.0.1",
                PORT + number,
                (DAY_US + now) / 1000,
                Member.Status.ALIVE),
            seeds,
            settings,
            random.nextLong(),
            now,
            node);
    node.fleet.onEndpointsChanged(now, stores.values(), List.of());
    node.wake();
  }

  /** Kills it: it says nothing any more. */
  public void kill(int number) {
    nodes.get(number).up = false;
  }

  /** It ends as asked. */
  public void leave(int number) {
    nodes.get(number).fleet.leave();
    nodes.get(number).up = false;
  }

  /** From now on it hears only those of the same group. */
  public void group(int number, int group) {
    nodes.get(number).group = group;
  }

  /** Something to do at that time. */
  public void at(long atUs, Runnable what) {
    steps.add(new Step(atUs, ++order, what));
  }

  /** Plays on up to that time. */
  public void playTo(long untilUs) {
    while (!steps.isEmpty() && steps.peek().atUs() <= untilUs) {
      Step step = steps.poll();
      now = Math.max(now, step.atUs());
      step.what().run();
    }
    now = untilUs;
  }

  /** True where all that are up, of one group, hold exactly each other for those that take part. */
  public boolean agree(int group) {
    Set<String> all = new java.util.TreeSet<>();
    nodes.stream().filter(n -> n.up && n.group == group).forEach(n -> all.add(n.name));
    return nodes.stream()
        .filter(n -> n.up && n.group == group)
        .allMatch(n -> n.fleet.members().equals(all));
  }

  /** Brokers that keep to each store. */
  public Map<String, Integer> load() {
    Map<String, Integer> load = new LinkedHashMap<>();
    stores.keySet().forEach(store -> load.put(store, 0));
    nodes.stream()
        .filter(n -> n.up)
        .forEach(
            n -> n.fleet.selectedEndpoints().forEach(store -> load.merge(store, 1, Integer::sum)));
    return load;
  }

  /** The most at one store over the mean. */
  public static double unevenness(Map<String, Integer> load) {
    double mean = load.values().stream().mapToInt(i -> i).average().orElse(0);
    return mean == 0 ? 1 : load.values().stream().mapToInt(i -> i).max().orElse(0) / mean;
  }

  /**
   * Connections of the larger fleet that the smaller has not, by the share of one broker of the
   * larger.
   */
  public static double moved(Map<String, Set<String>> larger, Map<String, Set<String>> smaller) {
    long lost = 0;
    long all = 0;
    for (Map.Entry<String, Set<String>> broker : larger.entrySet()) {
      all += broker.getValue().size();
      Set<String> kept = smaller.getOrDefault(broker.getKey(), Set.of());
      lost += broker.getValue().stream().filter(store -> !kept.contains(store)).count();
    }
    return lost / ((double) all / larger.size());
  }

  /** The most probes of one store within any second, from that time on. */
  public long mostProbesInASecond(long fromUs) {
    long most = 0;
    for (Probe first : probes) {
      if (first.atUs() >= fromUs) {
        most =
            Math.max(
                most,
                probes.stream()
                    .filter(
                        p ->
                            p.store().equals(first.store())
                                && p.atUs() >= first.atUs()
                                && p.atUs() < first.atUs() + 1_000_000)
                    .count());
      }
    }
    return most;
  }
}

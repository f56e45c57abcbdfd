package dunlinhitch.experiments.testbed;

import dunlinhitch.cluster.ClusterSnapshot;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.MembershipProtocolSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.ToLongBiFunction;

/**
 * Many views of each other on virtual time, and nothing else: the real {@code MembershipProtocol},
 * and a network that loses, delays and cuts words by direction. A word takes 0.2 to 2 ms and what
 * is added. One seed, one course of events.
 */
public final class ViewWorld {
  private static final long LEAST_DELAY_US = 200;
  private static final long MOST_DELAY_US = 2_000;
  private static final int PORT = 7000;

  /** Addresses that a broker may move to: one row of ports for each move. */
  private static final int MOVE = 1_000;

  private static final int SEEDS = 8;
  private static final long DAY_MS = 1_796_000_000_000L;

  private record Step(long atUs, long order, Runnable what) {}

  /** One process: where it listens, its view, and whether it runs. */
  public final class Node {
    public final String name;
    private final int port;
    private MembershipProtocol view;
    private boolean up;
    private long stillUntilUs;
    private long wakeUs = Long.MAX_VALUE;
    private final List<GossipMessage> kept = new ArrayList<>();
    private Set<String> names = Set.of();
    private ClusterSnapshot shown;

    /** Names that went out of its view though their brokers ran and were not cut off from it. */
    private long falseDeaths;

    private Node(String name, int port) {
      this.name = name;
      this.port = port;
    }

    public MembershipProtocol view() {
      return view;
    }

    public boolean isUp() {
      return up;
    }

    private void passed() {
      if (up && now >= stillUntilUs) {
        view.onTime(now);
        after();
      }
    }

    private void heard(GossipMessage word) {
      if (!up) {
        return;
      }
      if (now < stillUntilUs) {
        kept.add(word); // the socket's buffer
      } else {
        view.onMessage(now, word);
        after();
      }
    }

    @SuppressWarnings("ReferenceEquality") // a snapshot is replaced, never changed
    private void after() {
      ClusterSnapshot seen = view.snapshot();
      if (seen != shown) {
        Set<String> held = seen.names();
        if (!held.equals(names)) {
          names.stream()
              .filter(gone -> !held.contains(gone) && runs(gone) && !harmed)
              .forEach(gone -> falseDeaths++);
          names = held;
        }
        shown = seen;
      }
      long next = Math.max(now + 1, view.nextUs());
      if (next < wakeUs) {
        wakeUs = next;
        at(
            next,
            () -> {
              if (wakeUs == next) {
                wakeUs = Long.MAX_VALUE;
                passed();
              }
            });
      }
    }
  }

  private final SplittableRandom random;
  private final MembershipProtocolSettings settings;
  private final double loss;
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparingLong(Step::atUs).thenComparingLong(Step::order));
  private final List<Node> nodes = new ArrayList<>();
  private final Map<Integer, Node> byPort = new HashMap<>();
  private BiPredicate<Node, Node> cut = (from, to) -> false;
  private ToLongBiFunction<Node, Node> late = (from, to) -> 0;

  /** While an injected trouble is on, who is out of a view may be so by right. */
  private boolean harmed;

  private long now;
  private long order;
  private long words;
  private long bytes;
  private int largestWord;

  public ViewWorld(long seed, double loss, MembershipProtocolSettings settings) {
    random = new SplittableRandom(seed);
    this.loss = loss;
    this.settings = settings;
  }

  public long nowUs() {
    return now;
  }

  public List<Node> nodes() {
    return nodes;
  }

  /**
   * Words that were sent, and what they come to; a header of 28 bytes for each datagram is in it.
   */
  public long words() {
    return words;
  }

  public long bytes() {
    return bytes;
  }

  public int largestWord() {
    return largestWord;
  }

  public long falseDeaths() {
    return nodes.stream().mapToLong(node -> node.falseDeaths).sum();
  }

  /**
   * Brokers n0, n1 and on, at as many as are asked for; all but the first eight begin with the
   * first eight.
   */
  public void start(int first, int last) {
    for (int i = first; i < last; i++) {
      start("n" + i, i, dayMs());
    }
  }

  private long dayMs() {
    return DAY_MS + now / 1000;
  }

  /** The incarnation of a start at this moment, with a clock that is so much ahead. */
  public long incarnation(long aheadMs) {
    return dayMs() + aheadMs;
  }

  /**
   * Starts a process of that name at that place, with nothing known. A place has one process: what
   * ran there is killed.
   */
  public Node start(String name, int place, long incarnation) {
    Node node = new Node(name, PORT + place);
    Node before = byPort.put(node.port, node);
    if (before != null) {
      before.up = false;
      nodes.remove(before);
    }
    nodes.add(node);
    List<MembershipProtocol.Seed> seeds = new ArrayList<>();
    for (int i = 0; i < SEEDS; i++) {
      seeds.add(new MembershipProtocol.Seed("10.0.0.1", PORT + i));
    }
    node.up = true;
    node.view =
        new MembershipProtocol(
            new Member(name, "", "10.0.0.1", node.port, incarnation, Member.Status.ALIVE),
            seeds,
            settings,
            random.nextLong(),
            now,
            (host, port, word) -> send(node, port, word),
            room -> List.of());
    node.after();
    return node;
  }

  /** The same broker at its place again, with a clock that is so much ahead. */
  public void restart(int number, long aheadMs) {
    start("n" + number, number, incarnation(aheadMs));
  }

  /** It ends and begins again at another address. */
  public void move(int number, long aheadMs) {
    kill(number);
    start("n" + number, number + MOVE, incarnation(aheadMs));
  }

  public Node node(int number) {
    return byPort.get(PORT + number);
  }

  public void kill(int number) {
    Node node = byPort.remove(PORT + number);
    node.up = false;
    nodes.remove(node);
  }

  public void leave(int number) {
    node(number).view.leave();
    kill(number);
  }

  /**
   * Its process stands still for so long; then it has at once all that came meanwhile, {@code
   * wordsFirst} or after its timers.
   */
  public void still(int number, long forUs, boolean wordsFirst) {
    Node node = node(number);
    node.stillUntilUs = now + forUs;
    at(
        node.stillUntilUs,
        () -> {
          if (!wordsFirst) {
            node.passed();
          }
          List<GossipMessage> kept = List.copyOf(node.kept);
          node.kept.clear();
          kept.forEach(node::heard);
          node.passed();
        });
  }

  /** Words from the one to the other are lost where this holds. */
  public void cut(BiPredicate<Node, Node> rule) {
    cut = rule;
  }

  /** Words from the one to the other take so much longer. */
  public void late(ToLongBiFunction<Node, Node> rule) {
    late = rule;
  }

  /** From now on who goes out of a view may do so by right; or may not. */
  public void harmed(boolean is) {
    harmed = is;
  }

  public static int number(Node node) {
    return Integer.parseInt(node.name.substring(1));
  }

  private void send(Node from, int port, GossipMessage word) {
    words++;
    int size = word.bytes();
    largestWord = Math.max(largestWord, size);
    bytes += 28 + size;
    Node to = byPort.get(port);
    if (to != null && !cut.test(from, to) && random.nextDouble() >= loss) {
      at(
          now + random.nextLong(LEAST_DELAY_US, MOST_DELAY_US) + late.applyAsLong(from, to),
          () -> to.heard(word));
    }
  }

  private boolean runs(String name) {
    return nodes.stream()
        .anyMatch(node -> node.name.equals(name) && node.up && now >= node.stillUntilUs);
  }

  public void at(long atUs, Runnable what) {
    steps.add(new Step(atUs, ++order, what));
  }

  public void playTo(long untilUs) {
    while (!steps.isEmpty() && steps.peek().atUs() <= untilUs) {
      Step step = steps.poll();
      now = Math.max(now, step.atUs());
      step.what().run();
    }
    now = untilUs;
  }

  public void play(long forUs) {
    playTo(now + forUs);
  }

  /**
   * Plays on until all that run hold exactly those that run, or time is up; how long that took,
   * below 0: it did not.
   */
  public long untilAgree(long withinUs) {
    long from = now;
    while (now <= from + withinUs) {
      if (agree()) {
        return now - from;
      }
      play(settings.periodUs() / 4);
    }
    return -1;
  }

  /** The same, and all of them know it. */
  public long untilSettled(long withinUs) {
    long from = now;
    while (now <= from + withinUs) {
      if (agree() && nodes.stream().allMatch(node -> node.view.snapshot().isConverged())) {
        return now - from;
      }
      play(settings.periodUs() / 4);
    }
    return -1;
  }

  /** True where all that run hold exactly the names that run, at one digest. */
  public boolean agree() {
    return agree(nodes);
  }

  /** True where these hold exactly each other. */
  public static boolean agree(List<Node> among) {
    if (among.isEmpty()) {
      return true;
    }
    Set<String> all = new TreeSet<>();
    among.forEach(node -> all.add(node.name));
    long digest = among.get(0).view.snapshot().digest();
    return among.stream().allMatch(node -> node.view.snapshot().digest() == digest)
        && among.get(0).view.snapshot().names().equals(all);
  }
}

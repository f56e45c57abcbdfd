package dunlinhitch.experiments.testbed;

import dunlinhitch.cluster.ClusterSnapshot;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.MembershipProtocolSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.ToLongBiFunction;

/**
 * A discrete-event model of only the membership protocol: it runs the real {@link
 * MembershipProtocol} of each broker, in virtual time, on a network that loses messages at random
 * and can delay or drop messages by sender and receiver. A message takes 0.2 to 2 ms plus the added
 * delay. A seed determines the whole run.
 *
 * <p>Not thread-safe.
 */
public final class MembershipSimulation {
  private static final long MIN_DELAY_US = 200;
  private static final long MAX_DELAY_US = 2_000;
  private static final int BASE_PORT = 7000;

  /** Difference between the port numbers of a broker before and after a move. */
  private static final int RELOCATION_PORT_OFFSET = 1_000;

  /** Number of seed addresses of each broker; the seeds are the brokers at the first addresses. */
  private static final int SEEDS = 8;

  private static final long WALL_CLOCK_START_MS = 1_796_000_000_000L;

  /** IP and UDP headers of one datagram. */
  private static final int DATAGRAM_HEADER_BYTES = 28;

  /** One broker process. */
  public final class Node {
    public final String name;
    private final int port;
    private MembershipProtocol protocol;
    private boolean up;
    private long pausedUntilUs;
    private long timerUs = Long.MAX_VALUE;
    private final List<GossipMessage> receiveBuffer = new ArrayList<>();
    private Set<String> lastNames = Set.of();
    private ClusterSnapshot lastSnapshot;

    /**
     * Number of members that this process removed although they were running and no fault was
     * injected.
     */
    private long falseDeaths;

    private Node(String name, int port) {
      this.name = name;
      this.port = port;
    }

    /** Returns the membership protocol of this process. */
    public MembershipProtocol protocol() {
      return protocol;
    }

    /** Returns true while the process runs, even if it is paused. */
    public boolean isUp() {
      return up;
    }

    private void onTimer() {
      if (up && time.nowUs() >= pausedUntilUs) {
        protocol.onTime(time.nowUs());
        afterEvent();
      }
    }

    private void onMessage(GossipMessage message) {
      if (!up) {
        return;
      }
      if (time.nowUs() < pausedUntilUs) {
        // The message is buffered until the process resumes, as in a socket receive buffer.
        receiveBuffer.add(message);
      } else {
        protocol.onMessage(time.nowUs(), message);
        afterEvent();
      }
    }

    // Compares references, because snapshots are immutable and each change creates a new snapshot.
    @SuppressWarnings("ReferenceEquality")
    private void afterEvent() {
      ClusterSnapshot snapshot = protocol.snapshot();
      if (snapshot != lastSnapshot) {
        Set<String> visible = snapshot.names();
        if (!visible.equals(lastNames)) {
          lastNames.stream()
              .filter(removed -> !visible.contains(removed) && isRunning(removed) && !faultInjected)
              .forEach(removed -> falseDeaths++);
          lastNames = visible;
        }
        lastSnapshot = snapshot;
      }
      long next = Math.max(time.nowUs() + 1, protocol.nextUs());
      if (next < timerUs) {
        timerUs = next;
        at(
            next,
            () -> {
              if (timerUs == next) {
                timerUs = Long.MAX_VALUE;
                onTimer();
              }
            });
      }
    }
  }

  private final SplittableRandom random;
  private final MembershipProtocolSettings settings;
  private final double loss;
  private final VirtualTime time = new VirtualTime();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<Integer, Node> byPort = new HashMap<>();
  private BiPredicate<Node, Node> cut = (from, to) -> false;
  private ToLongBiFunction<Node, Node> late = (from, to) -> 0;

  /**
   * True while a fault is injected. Members that are removed during this time do not count as false
   * positives.
   */
  private boolean faultInjected;

  private long messageCount;
  private long bytes;
  private int largestMessage;

  /** Creates a cluster without brokers; {@code loss} is the probability of message loss. */
  public MembershipSimulation(long seed, double loss, MembershipProtocolSettings settings) {
    random = new SplittableRandom(seed);
    this.loss = loss;
    this.settings = settings;
  }

  /** Returns the virtual time in microseconds. */
  public long nowUs() {
    return time.nowUs();
  }

  /** Returns all running processes. */
  public List<Node> nodes() {
    return nodes;
  }

  /** Returns the number of messages sent so far, including lost ones. */
  public long messageCount() {
    return messageCount;
  }

  /** Returns the number of bytes sent so far, including 28 bytes of headers for each datagram. */
  public long bytes() {
    return bytes;
  }

  /** Returns the size of the largest message so far, in bytes without headers. */
  public int largestMessage() {
    return largestMessage;
  }

  /** Returns the number of false positives of failure detection at all running brokers. */
  public long falsePositives() {
    return nodes.stream().mapToLong(node -> node.falseDeaths).sum();
  }

  /**
   * Starts the brokers from n{@code first} up to, but not including, n{@code last}. The brokers at
   * the first eight addresses are the seeds of all.
   */
  public void start(int first, int last) {
    for (int i = first; i < last; i++) {
      start("n" + i, i, wallClockMs());
    }
  }

  private long wallClockMs() {
    return WALL_CLOCK_START_MS + time.nowUs() / 1000;
  }

  /**
   * Returns the incarnation of a process that starts now and whose clock is {@code aheadMs} ahead
   * of the simulated wall clock.
   */
  public long incarnation(long aheadMs) {
    return wallClockMs() + aheadMs;
  }

  /**
   * Starts a process without earlier state at address {@code place}; crashes the process that runs
   * there, if any.
   */
  public Node start(String name, int place, long incarnation) {
    Node node = new Node(name, BASE_PORT + place);
    Node before = byPort.put(node.port, node);
    if (before != null) {
      before.up = false;
      nodes.remove(before);
    }
    nodes.add(node);
    List<MembershipProtocol.Seed> seeds = new ArrayList<>();
    for (int i = 0; i < SEEDS; i++) {
      seeds.add(new MembershipProtocol.Seed("10.0.0.1", BASE_PORT + i));
    }
    node.up = true;
    node.protocol =
        new MembershipProtocol(
            new Member(name, "", "10.0.0.1", node.port, incarnation, Member.Status.ALIVE),
            seeds,
            settings,
            random.nextLong(),
            time.nowUs(),
            (host, port, message) -> send(node, port, message),
            room -> List.of());
    node.afterEvent();
    return node;
  }

  /**
   * Restarts a broker at the same address, with a clock that is {@code aheadMs} ahead of the
   * simulated wall clock.
   */
  public void restart(int number, long aheadMs) {
    start("n" + number, number, incarnation(aheadMs));
  }

  /**
   * Restarts a broker at another address, with a clock that is {@code aheadMs} ahead of the
   * simulated wall clock.
   */
  public void move(int number, long aheadMs) {
    kill(number);
    start("n" + number, number + RELOCATION_PORT_OFFSET, incarnation(aheadMs));
  }

  /** Returns the process at the initial address of a broker, or null if none has run there. */
  public Node node(int number) {
    return byPort.get(BASE_PORT + number);
  }

  /** Crashes a broker. */
  public void kill(int number) {
    Node node = byPort.remove(BASE_PORT + number);
    node.up = false;
    nodes.remove(node);
  }

  /** Stops a broker gracefully. */
  public void leave(int number) {
    node(number).protocol.leave();
    kill(number);
  }

  /**
   * Pauses a process. When the process resumes, it handles all messages that arrived during the
   * pause and runs its due timers. The messages come first if {@code messagesFirst} is true;
   * otherwise the timers come first.
   */
  public void still(int number, long forUs, boolean messagesFirst) {
    Node node = node(number);
    node.pausedUntilUs = time.nowUs() + forUs;
    at(
        node.pausedUntilUs,
        () -> {
          if (!messagesFirst) {
            node.onTimer();
          }
          List<GossipMessage> buffered = List.copyOf(node.receiveBuffer);
          node.receiveBuffer.clear();
          buffered.forEach(node::onMessage);
          node.onTimer();
        });
  }

  /** Sets the partition: messages are lost if the rule accepts their sender and receiver. */
  public void cut(BiPredicate<Node, Node> rule) {
    cut = rule;
  }

  /** Sets the added delay in microseconds by sender and receiver. */
  public void late(ToLongBiFunction<Node, Node> rule) {
    late = rule;
  }

  /**
   * Sets whether a fault is being injected. During a fault, removed members do not count as false
   * positives.
   */
  public void harmed(boolean injected) {
    faultInjected = injected;
  }

  /** Returns the number in the name of a broker. */
  public static int number(Node node) {
    return Integer.parseInt(node.name.substring(1));
  }

  private void send(Node from, int port, GossipMessage message) {
    messageCount++;
    int size = message.bytes();
    largestMessage = Math.max(largestMessage, size);
    bytes += DATAGRAM_HEADER_BYTES + size;
    Node to = byPort.get(port);
    if (to != null && !cut.test(from, to) && random.nextDouble() >= loss) {
      at(
          time.nowUs() + random.nextLong(MIN_DELAY_US, MAX_DELAY_US) + late.applyAsLong(from, to),
          () -> to.onMessage(message));
    }
  }

  private boolean isRunning(String name) {
    return nodes.stream()
        .anyMatch(node -> node.name.equals(name) && node.up && time.nowUs() >= node.pausedUntilUs);
  }

  /** Schedules a task at a virtual time. */
  public void at(long atUs, Runnable task) {
    time.at(atUs, task);
  }

  /** Runs all tasks that are scheduled until the virtual time {@code untilUs}. */
  public void playTo(long untilUs) {
    time.playTo(untilUs);
  }

  /** Runs the simulation for another {@code forUs} microseconds. */
  public void play(long forUs) {
    playTo(time.nowUs() + forUs);
  }

  /**
   * Runs until all running brokers agree on the members.
   *
   * @return microseconds until the brokers agree, or -1 if they do not agree within the limit
   */
  public long untilAgree(long withinUs) {
    long from = time.nowUs();
    while (time.nowUs() <= from + withinUs) {
      if (agree()) {
        return time.nowUs() - from;
      }
      play(settings.periodUs() / 4);
    }
    return -1;
  }

  /**
   * Runs until all running brokers agree and each has detected the convergence.
   *
   * @return microseconds until this condition is met, or -1 if the condition is not met within the
   *     limit
   */
  public long untilSettled(long withinUs) {
    long from = time.nowUs();
    while (time.nowUs() <= from + withinUs) {
      if (agree() && nodes.stream().allMatch(node -> node.protocol.snapshot().isConverged())) {
        return time.nowUs() - from;
      }
      play(settings.periodUs() / 4);
    }
    return -1;
  }

  /**
   * Returns true if the member list of each running broker consists of exactly the running brokers,
   * and all digests are equal.
   */
  public boolean agree() {
    return agree(nodes);
  }

  /** Returns true if the member list of each of these brokers consists of exactly these brokers. */
  public static boolean agree(List<Node> among) {
    if (among.isEmpty()) {
      return true;
    }
    Set<String> all = new TreeSet<>();
    among.forEach(node -> all.add(node.name));
    long digest = among.get(0).protocol.snapshot().digest();
    return among.stream().allMatch(node -> node.protocol.snapshot().digest() == digest)
        && among.get(0).protocol.snapshot().names().equals(all);
  }
}

package dunlinhitch.experiments.modelchecker;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.cluster.ReplicatedMap;
import dunlinhitch.cluster.ReplicatedMapSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Adapts the production replicated map for the model checker; a message carries all entries of its
 * sender.
 */
public final class ReplicatedMapSubject
    implements Subject<List<ReplicatedEntry<String, Integer>>, ReplicatedMapSubject.Observation> {
  /** The duration of one step of the model, in microseconds. */
  private static final long STEP_US = 1_000;

  static final ReplicatedMapSettings SETTINGS =
      new ReplicatedMapSettings(3 * STEP_US, STEP_US, 2, 1);
  private static final List<String> KEYS = List.of("a", "b");
  private static final String PUBLISH_PREFIX = "publishes ";
  private static final String SEND_PREFIX = "sends its entries to ";

  /** The map under test: the production module, or a faulty one in tests of the model checker. */
  interface Replica {
    void merge(long nowUs, ReplicatedEntry<String, Integer> entry);

    void expire(long nowUs);

    List<ReplicatedEntry<String, Integer>> entries();
  }

  /** The production module. */
  private static final class ProductionReplica implements Replica {
    private final ReplicatedMap<String, Integer> map =
        new ReplicatedMap<>(SETTINGS, Comparator.<String>naturalOrder());

    @Override
    public void merge(long nowUs, ReplicatedEntry<String, Integer> entry) {
      map.merge(nowUs, entry);
    }

    @Override
    public void expire(long nowUs) {
      map.expire(nowUs);
    }

    @Override
    public List<ReplicatedEntry<String, Integer>> entries() {
      return map.all();
    }
  }

  /** The observable state of a broker; {@code clockUs} is the current time of its clock. */
  public record Observation(
      long clockUs, List<ReplicatedEntry<String, Integer>> entries, String violation) {}

  private final Supplier<Replica> replicaFactory;
  private final long clockOffsetUs;
  private final boolean simultaneousUpdates;

  /**
   * Creates a subject on the production module.
   *
   * @param clockOffsetUs microseconds by which the clock of n0 is ahead of the other clocks
   * @param simultaneousUpdates whether brokers may publish at the same instant
   */
  public ReplicatedMapSubject(long clockOffsetUs, boolean simultaneousUpdates) {
    this(ProductionReplica::new, clockOffsetUs, simultaneousUpdates);
  }

  ReplicatedMapSubject(
      Supplier<Replica> replicaFactory, long clockOffsetUs, boolean simultaneousUpdates) {
    this.replicaFactory = replicaFactory;
    this.clockOffsetUs = clockOffsetUs;
    this.simultaneousUpdates = simultaneousUpdates;
  }

  /**
   * The map of one broker. Also records removed entries, to detect a removed entry that reappears.
   */
  private final class ReplicaNode
      implements Node<List<ReplicatedEntry<String, Integer>>, Observation> {
    private final String name;
    private final MessageSender<List<ReplicatedEntry<String, Integer>>> sender;
    private final Replica replica = replicaFactory.get();
    private final long ownClockOffsetUs;
    private final Set<ReplicatedEntry<String, Integer>> removed = new HashSet<>();
    private final Map<String, Long> lastPublishedUs = new HashMap<>();
    private List<ReplicatedEntry<String, Integer>> previous = List.of();
    private long clockUs;
    private String violation;

    ReplicaNode(int number, int now, MessageSender<List<ReplicatedEntry<String, Integer>>> sender) {
      name = ClusterModel.name(number);
      ownClockOffsetUs = number == 0 ? clockOffsetUs : 0;
      clockUs = clockUs(now);
      this.sender = sender;
    }

    private long clockUs(int now) {
      return now * STEP_US + ownClockOffsetUs;
    }

    @Override
    public void onTick(int now) {
      clockUs = clockUs(now);
      replica.expire(clockUs);
      replica.entries().stream()
          .filter(entry -> entry.timestampUs() <= clockUs - SETTINGS.timeToLiveUs())
          .findFirst()
          .ifPresent(entry -> violation = name + " still holds the expired entry " + entry);
      checkInvariants();
    }

    @Override
    public void onMessage(int now, List<ReplicatedEntry<String, Integer>> message) {
      message.forEach(entry -> replica.merge(clockUs, entry));
      checkInvariants();
    }

    @Override
    public void perform(int now, int order, String action) {
      if (action.startsWith(PUBLISH_PREFIX)) {
        String key = action.substring(PUBLISH_PREFIX.length());
        long timestampUs = simultaneousUpdates ? clockUs : clockUs + order;
        Long last = lastPublishedUs.put(key, timestampUs);
        // A broker publishes at most one entry for each key and timestamp.
        if (last == null || last < timestampUs) {
          replica.merge(clockUs, new ReplicatedEntry<>(key, name, timestampUs, order));
        }
      } else {
        sender.send(ClusterModel.number(action.substring(SEND_PREFIX.length())), replica.entries());
      }
      checkInvariants();
    }

    private void checkInvariants() {
      List<ReplicatedEntry<String, Integer>> now = replica.entries();
      Set<ReplicatedEntry<String, Integer>> all = Set.copyOf(now);
      previous.stream().filter(entry -> !all.contains(entry)).forEach(removed::add);
      previous = now;
      now.stream()
          .filter(removed::contains)
          .findFirst()
          .ifPresent(entry -> violation = name + " holds a removed entry again: " + entry);
      long largestOriginCount =
          now.stream()
              .collect(Collectors.groupingBy(ReplicatedEntry::origin, Collectors.counting()))
              .values()
              .stream()
              .mapToLong(count -> count)
              .max()
              .orElse(0);
      if (now.size() > SETTINGS.maxEntries()
          || largestOriginCount > SETTINGS.maxEntriesPerOrigin()) {
        violation =
            name
                + " holds "
                + now.size()
                + " entries, "
                + largestOriginCount
                + " of them from one origin; the limits are "
                + SETTINGS.maxEntries()
                + " and "
                + SETTINGS.maxEntriesPerOrigin();
      }
    }

    @Override
    public Observation observe() {
      return new Observation(clockUs, previous, violation);
    }

    @Override
    public Object state() {
      return List.of(clockUs, previous, removed, lastPublishedUs);
    }
  }

  @Override
  public Node<List<ReplicatedEntry<String, Integer>>, Observation> start(
      int number, int now, Node.MessageSender<List<ReplicatedEntry<String, Integer>>> sender) {
    return new ReplicaNode(number, now, sender);
  }

  /**
   * With simultaneous updates, ties are broken by broker name. Therefore no two brokers are
   * symmetric, and only the identity is returned.
   */
  @Override
  public List<int[]> symmetries() {
    List<int[]> symmetries = new ArrayList<>(List.of(new int[] {0, 1, 2}));
    if (!simultaneousUpdates) {
      symmetries.add(new int[] {0, 2, 1});
    }
    if (!simultaneousUpdates && clockOffsetUs == 0) {
      symmetries.addAll(
          List.of(
              new int[] {1, 0, 2}, new int[] {1, 2, 0}, new int[] {2, 0, 1}, new int[] {2, 1, 0}));
    }
    return symmetries;
  }

  @Override
  public List<String> actions(int number) {
    List<String> actions = new ArrayList<>();
    KEYS.forEach(key -> actions.add(PUBLISH_PREFIX + key));
    actions.addAll(convergenceActions(number));
    return actions;
  }

  @Override
  public boolean isUpdate(String action) {
    return action.startsWith(PUBLISH_PREFIX);
  }

  /** Each broker sends its entries to all others. */
  @Override
  public List<String> convergenceActions(int number) {
    List<String> sendActions = new ArrayList<>();
    for (int i = 0; i < ClusterModel.BROKER_COUNT; i++) {
      if (i != number) {
        sendActions.add(SEND_PREFIX + ClusterModel.name(i));
      }
    }
    return sendActions;
  }

  @Override
  public Optional<String> safetyViolation(
      List<Observation> observations, List<List<Integer>> groups) {
    return groups.stream()
        .flatMap(List::stream)
        .map(i -> observations.get(i).violation())
        .filter(violation -> violation != null)
        .findFirst();
  }

  /**
   * Checks that all brokers hold the same entries. Entries that have expired according to the
   * fastest clock are ignored.
   */
  @Override
  public Optional<String> convergenceViolation(List<Observation> live, List<Integer> numbers) {
    long latest = live.stream().mapToLong(Observation::clockUs).max().orElse(0);
    List<List<ReplicatedEntry<String, Integer>>> entriesByBroker =
        live.stream()
            .map(
                one ->
                    one.entries().stream()
                        .filter(entry -> entry.timestampUs() > latest - SETTINGS.timeToLiveUs())
                        .toList())
            .toList();
    for (int i = 1; i < entriesByBroker.size(); i++) {
      if (!entriesByBroker.get(i).equals(entriesByBroker.get(0))) {
        return Optional.of(
            ClusterModel.name(numbers.get(0))
                + " holds "
                + entriesByBroker.get(0)
                + ", but "
                + ClusterModel.name(numbers.get(i))
                + " holds "
                + entriesByBroker.get(i));
      }
    }
    return live.stream()
        .map(Observation::violation)
        .filter(violation -> violation != null)
        .findFirst();
  }

  /** Returns 0: a single exchange of all entries suffices. */
  @Override
  public int convergenceSteps() {
    return 0;
  }

  @Override
  public int stableSteps() {
    return 0;
  }

  @Override
  public String describe(List<ReplicatedEntry<String, Integer>> message) {
    return message.stream()
        .map(entry -> entry.key() + " from " + entry.origin() + " at " + entry.timestampUs())
        .collect(Collectors.joining(", ", "[", "]"));
  }
}

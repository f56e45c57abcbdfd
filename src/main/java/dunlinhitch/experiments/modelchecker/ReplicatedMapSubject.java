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

/** What brokers hold in common, the module that serves; a word tells all that its broker holds. */
public final class ReplicatedMapSubject
    implements Subject<List<ReplicatedEntry<String, Integer>>, ReplicatedMapSubject.Observation> {
  /** A step of the model, in µs. */
  private static final long STEP_US = 1_000;

  static final ReplicatedMapSettings SETTINGS =
      new ReplicatedMapSettings(3 * STEP_US, STEP_US, 2, 1);
  private static final List<String> KEYS = List.of("a", "b");
  private static final String PUBLISH_PREFIX = "says something of ";
  private static final String SEND_PREFIX = "tells ";

  /** What holds facts: the module, or one put wrong on purpose. */
  interface Replica {
    void merge(long nowUs, ReplicatedEntry<String, Integer> told);

    void expire(long nowUs);

    List<ReplicatedEntry<String, Integer>> entries();
  }

  /** The module that serves. */
  private static final class ProductionReplica implements Replica {
    private final ReplicatedMap<String, Integer> map =
        new ReplicatedMap<>(SETTINGS, Comparator.<String>naturalOrder());

    @Override
    public void merge(long nowUs, ReplicatedEntry<String, Integer> told) {
      map.merge(nowUs, told);
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

  /** {@code clockUs}: what the broker's clock shows. */
  public record Observation(
      long clockUs, List<ReplicatedEntry<String, Integer>> entries, String violation) {}

  private final Supplier<Replica> replicaFactory;
  private final long clockOffsetUs;
  private final boolean simultaneousUpdates;

  /**
   * @param aheadUs of n0's clock
   * @param ties brokers may say things at the same moment; else no two ever do
   */
  public ReplicatedMapSubject(long aheadUs, boolean ties) {
    this(ProductionReplica::new, aheadUs, ties);
  }

  ReplicatedMapSubject(Supplier<Replica> holders, long aheadUs, boolean ties) {
    this.replicaFactory = holders;
    this.clockOffsetUs = aheadUs;
    this.simultaneousUpdates = ties;
  }

  /** One broker's, and what it held once and does no more. */
  private final class ReplicaNode
      implements Node<List<ReplicatedEntry<String, Integer>>, Observation> {
    private final String name;
    private final MessageSender<List<ReplicatedEntry<String, Integer>>> sender;
    private final Replica replica = replicaFactory.get();
    private final long offsetUs;
    private final Set<ReplicatedEntry<String, Integer>> removed = new HashSet<>();
    private final Map<String, Long> lastPublishedUs = new HashMap<>();
    private List<ReplicatedEntry<String, Integer>> previous = List.of();
    private long clockUs;
    private String violation;

    ReplicaNode(int number, int now, MessageSender<List<ReplicatedEntry<String, Integer>>> mouth) {
      name = ClusterModel.name(number);
      offsetUs = number == 0 ? clockOffsetUs : 0;
      clockUs = clockUs(now);
      this.sender = mouth;
    }

    private long clockUs(int now) {
      return now * STEP_US + offsetUs;
    }

    @Override
    public void onTick(int now) {
      clockUs = clockUs(now);
      replica.expire(clockUs);
      replica.entries().stream()
          .filter(fact -> fact.timestampUs() <= clockUs - SETTINGS.timeToLiveUs())
          .findFirst()
          .ifPresent(fact -> violation = name + " still holds " + fact);
      checkInvariants();
    }

    @Override
    public void onMessage(int now, List<ReplicatedEntry<String, Integer>> word) {
      word.forEach(fact -> replica.merge(clockUs, fact));
      checkInvariants();
    }

    @Override
    public void perform(int now, int order, String what) {
      if (what.startsWith(PUBLISH_PREFIX)) {
        String key = what.substring(PUBLISH_PREFIX.length());
        long at = simultaneousUpdates ? clockUs : clockUs + order;
        Long last = lastPublishedUs.put(key, at);
        if (last == null || last < at) { // of one key an author says one thing at a moment
          replica.merge(clockUs, new ReplicatedEntry<>(key, name, at, order));
        }
      } else {
        sender.send(ClusterModel.number(what.substring(SEND_PREFIX.length())), replica.entries());
      }
      checkInvariants();
    }

    private void checkInvariants() {
      List<ReplicatedEntry<String, Integer>> now = replica.entries();
      Set<ReplicatedEntry<String, Integer>> all = Set.copyOf(now);
      previous.stream().filter(fact -> !all.contains(fact)).forEach(removed::add);
      previous = now;
      now.stream()
          .filter(removed::contains)
          .findFirst()
          .ifPresent(fact -> violation = name + " holds again what it had let go: " + fact);
      long most =
          now.stream()
              .collect(Collectors.groupingBy(ReplicatedEntry::origin, Collectors.counting()))
              .values()
              .stream()
              .mapToLong(count -> count)
              .max()
              .orElse(0);
      if (now.size() > SETTINGS.maxEntries() || most > SETTINGS.maxEntriesPerOrigin()) {
        violation = name + " holds " + now.size() + " facts, " + most + " of them of one author";
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
      int number, int now, Node.MessageSender<List<ReplicatedEntry<String, Integer>>> mouth) {
    return new ReplicaNode(number, now, mouth);
  }

  /**
   * Where two things may be said at a moment, the names decide which goes first, and no two brokers
   * are alike.
   */
  @Override
  public List<int[]> symmetries() {
    List<int[]> same = new ArrayList<>(List.of(new int[] {0, 1, 2}));
    if (!simultaneousUpdates) {
      same.add(new int[] {0, 2, 1});
    }
    if (!simultaneousUpdates && clockOffsetUs == 0) {
      same.addAll(
          List.of(
              new int[] {1, 0, 2}, new int[] {1, 2, 0}, new int[] {2, 0, 1}, new int[] {2, 1, 0}));
    }
    return same;
  }

  @Override
  public List<String> actions(int number) {
    List<String> acts = new ArrayList<>();
    KEYS.forEach(key -> acts.add(PUBLISH_PREFIX + key));
    acts.addAll(convergenceActions(number));
    return acts;
  }

  @Override
  public boolean isUpdate(String act) {
    return act.startsWith(PUBLISH_PREFIX);
  }

  /** To tell each other. */
  @Override
  public List<String> convergenceActions(int number) {
    List<String> tells = new ArrayList<>();
    for (int i = 0; i < ClusterModel.BROKER_COUNT; i++) {
      if (i != number) {
        tells.add(SEND_PREFIX + ClusterModel.name(i));
      }
    }
    return tells;
  }

  @Override
  public Optional<String> safetyViolation(List<Observation> seen, List<List<Integer>> sides) {
    return sides.stream()
        .flatMap(List::stream)
        .map(i -> seen.get(i).violation())
        .filter(wrong -> wrong != null)
        .findFirst();
  }

  /** All hold the same, but for what a clock that is ahead has let go of. */
  @Override
  public Optional<String> convergenceViolation(List<Observation> live, List<Integer> numbers) {
    long latest = live.stream().mapToLong(Observation::clockUs).max().orElse(0);
    List<List<ReplicatedEntry<String, Integer>>> held =
        live.stream()
            .map(
                one ->
                    one.entries().stream()
                        .filter(fact -> fact.timestampUs() > latest - SETTINGS.timeToLiveUs())
                        .toList())
            .toList();
    for (int i = 1; i < held.size(); i++) {
      if (!held.get(i).equals(held.get(0))) {
        return Optional.of(
            ClusterModel.name(numbers.get(0))
                + " holds "
                + held.get(0)
                + ", "
                + ClusterModel.name(numbers.get(i))
                + " "
                + held.get(i));
      }
    }
    return live.stream().map(Observation::violation).filter(wrong -> wrong != null).findFirst();
  }

  /** At once: each tells each all. */
  @Override
  public int convergenceSteps() {
    return 0;
  }

  @Override
  public int stableSteps() {
    return 0;
  }

  @Override
  public String describe(List<ReplicatedEntry<String, Integer>> word) {
    return word.stream()
        .map(fact -> fact.origin() + " of " + fact.key() + " at " + fact.timestampUs())
        .collect(Collectors.joining(", ", "[", "]"));
  }
}

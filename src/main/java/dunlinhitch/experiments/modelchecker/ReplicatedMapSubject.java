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
    implements Subject<List<ReplicatedEntry<String, Integer>>, ReplicatedMapSubject.Seen> {
  /** A step of the model, in µs. */
  private static final long STEP_US = 1_000;

  static final ReplicatedMapSettings RULE = new ReplicatedMapSettings(3 * STEP_US, STEP_US, 2, 1);
  private static final List<String> KEYS = List.of("a", "b");
  private static final String SAY = "says something of ";
  private static final String TELL = "tells ";

  /** What holds facts: the module, or one put wrong on purpose. */
  interface Holder {
    void take(long nowUs, ReplicatedEntry<String, Integer> told);

    void forget(long nowUs);

    List<ReplicatedEntry<String, Integer>> all();
  }

  /** The module that serves. */
  private static final class Real implements Holder {
    private final ReplicatedMap<String, Integer> facts =
        new ReplicatedMap<>(RULE, Comparator.<String>naturalOrder());

    @Override
    public void take(long nowUs, ReplicatedEntry<String, Integer> told) {
      facts.merge(nowUs, told);
    }

    @Override
    public void forget(long nowUs) {
      facts.expire(nowUs);
    }

    @Override
    public List<ReplicatedEntry<String, Integer>> all() {
      return facts.all();
    }
  }

  /** {@code clockUs}: what the broker's clock shows. */
  public record Seen(long clockUs, List<ReplicatedEntry<String, Integer>> all, String wrong) {}

  private final Supplier<Holder> holders;
  private final long aheadUs;
  private final boolean ties;

  /**
   * @param aheadUs of n0's clock
   * @param ties brokers may say things at the same moment; else no two ever do
   */
  public ReplicatedMapSubject(long aheadUs, boolean ties) {
    this(Real::new, aheadUs, ties);
  }

  ReplicatedMapSubject(Supplier<Holder> holders, long aheadUs, boolean ties) {
    this.holders = holders;
    this.aheadUs = aheadUs;
    this.ties = ties;
  }

  /** One broker's, and what it held once and does no more. */
  private final class Holding implements Node<List<ReplicatedEntry<String, Integer>>, Seen> {
    private final String name;
    private final Mouth<List<ReplicatedEntry<String, Integer>>> mouth;
    private final Holder held = holders.get();
    private final long ahead;
    private final Set<ReplicatedEntry<String, Integer>> gone = new HashSet<>();
    private final Map<String, Long> said = new HashMap<>();
    private List<ReplicatedEntry<String, Integer>> before = List.of();
    private long clock;
    private String wrong;

    Holding(int number, int now, Mouth<List<ReplicatedEntry<String, Integer>>> mouth) {
      name = Brokers.name(number);
      ahead = number == 0 ? aheadUs : 0;
      clock = clock(now);
      this.mouth = mouth;
    }

    private long clock(int now) {
      return now * STEP_US + ahead;
    }

    @Override
    public void passed(int now) {
      clock = clock(now);
      held.forget(clock);
      held.all().stream()
          .filter(fact -> fact.timestampUs() <= clock - RULE.timeToLiveUs())
          .findFirst()
          .ifPresent(fact -> wrong = name + " still holds " + fact);
      look();
    }

    @Override
    public void heard(int now, List<ReplicatedEntry<String, Integer>> word) {
      word.forEach(fact -> held.take(clock, fact));
      look();
    }

    @Override
    public void act(int now, int order, String what) {
      if (what.startsWith(SAY)) {
        String key = what.substring(SAY.length());
        long at = ties ? clock : clock + order;
        Long last = said.put(key, at);
        if (last == null || last < at) { // of one key an author says one thing at a moment
          held.take(clock, new ReplicatedEntry<>(key, name, at, order));
        }
      } else {
        mouth.say(Brokers.number(what.substring(TELL.length())), held.all());
      }
      look();
    }

    private void look() {
      List<ReplicatedEntry<String, Integer>> now = held.all();
      Set<ReplicatedEntry<String, Integer>> all = Set.copyOf(now);
      before.stream().filter(fact -> !all.contains(fact)).forEach(gone::add);
      before = now;
      now.stream()
          .filter(gone::contains)
          .findFirst()
          .ifPresent(fact -> wrong = name + " holds again what it had let go: " + fact);
      long most =
          now.stream()
              .collect(Collectors.groupingBy(ReplicatedEntry::origin, Collectors.counting()))
              .values()
              .stream()
              .mapToLong(count -> count)
              .max()
              .orElse(0);
      if (now.size() > RULE.maxEntries() || most > RULE.maxEntriesPerOrigin()) {
        wrong = name + " holds " + now.size() + " facts, " + most + " of them of one author";
      }
    }

    @Override
    public Seen seen() {
      return new Seen(clock, before, wrong);
    }

    @Override
    public Object state() {
      return List.of(clock, before, gone, said);
    }
  }

  @Override
  public Node<List<ReplicatedEntry<String, Integer>>, Seen> start(
      int number, int now, Node.Mouth<List<ReplicatedEntry<String, Integer>>> mouth) {
    return new Holding(number, now, mouth);
  }

  /**
   * Where two things may be said at a moment, the names decide which goes first, and no two brokers
   * are alike.
   */
  @Override
  public List<int[]> symmetries() {
    List<int[]> same = new ArrayList<>(List.of(new int[] {0, 1, 2}));
    if (!ties) {
      same.add(new int[] {0, 2, 1});
    }
    if (!ties && aheadUs == 0) {
      same.addAll(
          List.of(
              new int[] {1, 0, 2}, new int[] {1, 2, 0}, new int[] {2, 0, 1}, new int[] {2, 1, 0}));
    }
    return same;
  }

  @Override
  public List<String> acts(int number) {
    List<String> acts = new ArrayList<>();
    KEYS.forEach(key -> acts.add(SAY + key));
    acts.addAll(calmActs(number));
    return acts;
  }

  @Override
  public boolean isNews(String act) {
    return act.startsWith(SAY);
  }

  /** To tell each other. */
  @Override
  public List<String> calmActs(int number) {
    List<String> tells = new ArrayList<>();
    for (int i = 0; i < Brokers.COUNT; i++) {
      if (i != number) {
        tells.add(TELL + Brokers.name(i));
      }
    }
    return tells;
  }

  @Override
  public Optional<String> broken(List<Seen> seen, List<List<Integer>> sides) {
    return sides.stream()
        .flatMap(List::stream)
        .map(i -> seen.get(i).wrong())
        .filter(wrong -> wrong != null)
        .findFirst();
  }

  /** All hold the same, but for what a clock that is ahead has let go of. */
  @Override
  public Optional<String> unsettled(List<Seen> live, List<Integer> numbers) {
    long latest = live.stream().mapToLong(Seen::clockUs).max().orElse(0);
    List<List<ReplicatedEntry<String, Integer>>> held =
        live.stream()
            .map(
                one ->
                    one.all().stream()
                        .filter(fact -> fact.timestampUs() > latest - RULE.timeToLiveUs())
                        .toList())
            .toList();
    for (int i = 1; i < held.size(); i++) {
      if (!held.get(i).equals(held.get(0))) {
        return Optional.of(
            Brokers.name(numbers.get(0))
                + " holds "
                + held.get(0)
                + ", "
                + Brokers.name(numbers.get(i))
                + " "
                + held.get(i));
      }
    }
    return live.stream().map(Seen::wrong).filter(wrong -> wrong != null).findFirst();
  }

  /** At once: each tells each all. */
  @Override
  public int settledWithin() {
    return 0;
  }

  @Override
  public int lasting() {
    return 0;
  }

  @Override
  public String told(List<ReplicatedEntry<String, Integer>> word) {
    return word.stream()
        .map(fact -> fact.origin() + " of " + fact.key() + " at " + fact.timestampUs())
        .collect(Collectors.joining(", ", "[", "]"));
  }
}

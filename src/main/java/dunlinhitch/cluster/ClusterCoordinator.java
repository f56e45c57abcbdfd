package dunlinhitch.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one broker does as one of many: which stores it keeps to, whose turn a probe is, what it
 * passes on and believes of what others saw. The choice among the stores that it keeps to is not
 * made here.
 *
 * <p>Pure: events in, {@link Out} called. Each event bears two times in microseconds: {@code nowUs}
 * of a clock that never runs back, for spans, and {@code dayUs} of the day's clock, which brokers
 * share, for turns and the age of signals.
 *
 * <p>Where it hears nobody it goes by the brokers that it knew last: were each that is cut off to
 * count itself the only one, all of them together would take every store and every turn.
 */
public final class ClusterCoordinator {
  /** So many attempts in a row without an answer, and a store of the subset is stood in for. */
  static final int FAILING = 3;

  /** Signals that ride on one word. */
  private static final int MOST_RIDING = 8;

  private static final int RIDES = 6;
  private static final int MOST_WAITING = 64;

  /** What it asks for; carried out in the order in which it was called. */
  public interface Out extends MembershipProtocol.Out {
    /**
     * Of all stores of the roster those with these names are kept to from now on; called too where
     * only who takes part has changed.
     */
    void keepTo(Set<String> stores);

    /** Its turn has come: probe that store. */
    void probe(String store);

    /** A probe that was left to others came to this; {@code seen} null: to nothing. */
    void probed(String store, EndpointObservation seen);
  }

  /** One store of the roster; {@code usable}: new work may go to it. */
  public record Listed(String name, String cell, String zone, long startedMs, boolean usable) {}

  /** A probe that waits for its turn; {@code dueUs} of the day's clock, or never. */
  private record Waiting(long sinceDayUs, long dueDayUs, long endDayUs) {}

  private static final class Ride {
    private final EndpointObservation signal;
    private int left = RIDES;

    Ride(EndpointObservation signal) {
      this.signal = signal;
    }
  }

  private final ClusterSettings settings;
  private final Out out;
  private final MembershipProtocol view;
  private final Subsetting subsets;
  private final DutyRotation turns;
  private final ObservationTable signals;
  private final Map<String, Listed> stores = new LinkedHashMap<>();
  private final Map<String, Integer> failed = new HashMap<>();
  private final Map<String, Long> numbers = new HashMap<>();
  private final Map<String, Long> sharedUs = new HashMap<>();
  private final Map<String, Waiting> waiting = new LinkedHashMap<>();
  private final Deque<Ride> rides = new ArrayDeque<>();
  private final Map<String, List<String>> orders = new HashMap<>();
  private final Set<String> dirty = new HashSet<>();
  private Set<String> kept = Set.of();

  /** What all that is decided goes by; taken anew only between decisions. */
  private ClusterSnapshot seen;

  /** The members, or those that it knew last where it hears nobody. */
  private Set<String> takingPart;

  private Set<String> members;
  private Map<String, String> zones = new HashMap<>();
  private Set<String> shut = Set.of();
  private long changes;
  private long takenOver;

  /** {@code self} as the others are to know it; {@code seeds} may hold its own address. */
  public ClusterCoordinator(
      Member self,
      List<MembershipProtocol.Seed> seeds,
      ClusterSettings settings,
      long seed,
      long nowUs,
      Out out) {
    this.settings = settings;
    this.out = out;
    view = new MembershipProtocol(self, seeds, settings.view(), seed, nowUs, out, this::riding);
    subsets = new Subsetting(settings.subsets());
    turns = new DutyRotation(settings.turnUs(), settings.patienceUs());
    signals = new ObservationTable(settings.mostStores(), settings.staleUs());
    seen = view.now();
    takingPart = seen.names();
    members = takingPart;
    zones.put(self.name(), self.zone());
  }

  /** Brokers that are not counted on: they act on what is out of date. */
  public void shutOut(Set<String> names) {
    shut = Set.copyOf(names);
    settle();
  }

  /** The brokers that turns and subsets go by. */
  public Set<String> members() {
    return members;
  }

  public MembershipProtocol view() {
    return view;
  }

  /** The view that the last decision went by. */
  public ClusterSnapshot seen() {
    return seen;
  }

  public ObservationTable signals() {
    return signals;
  }

  /** The stores that it keeps to. */
  public Set<String> kept() {
    return kept;
  }

  /** How often the stores that it keeps to changed, and turns that it took for another. */
  public long changes() {
    return changes;
  }

  public long takenOver() {
    return takenOver;
  }

  /** Which stores there are, as far as they changed; {@code gone} are no longer there. */
  public void roster(long nowUs, Collection<Listed> changed, Collection<String> gone) {
    for (Listed store : changed) {
      Listed before = stores.put(store.name(), store);
      dirty.add(store.cell());
      if (before != null && !before.cell().equals(store.cell())) {
        dirty.add(before.cell());
      }
      if (before != null && before.startedMs() != store.startedMs()) {
        failed.remove(store.name());
      }
    }
    for (String name : gone) {
      Listed before = stores.remove(name);
      if (before != null) {
        dirty.add(before.cell());
      }
      failed.remove(name);
      numbers.remove(name);
      sharedUs.remove(name);
      signals.forget(name);
      if (waiting.remove(name) != null) {
        out.probed(name, null);
      }
    }
    settle();
  }

  /** A word of another broker. */
  public void heard(long nowUs, long dayUs, GossipMessage word) {
    view.heard(nowUs, word);
    for (EndpointObservation signal : word.signals()) {
      if (!signal.author().equals(view.self().name()) && signals.take(signal, dayUs)) {
        rides.addFirst(new Ride(signal));
        dirtyCellOf(signal.store());
      }
    }
    trimRides();
    answerWaiting();
    settle();
  }

  /**
   * What this broker saw of a store itself: its answer with a load report, or none. It is passed
   * on, but no more often than a turn is long: at each answer it would be told more than it is
   * asked.
   */
  public void saw(long dayUs, String store, boolean answered, List<Float> report) {
    Listed listed = stores.get(store);
    if (listed == null) {
      return;
    }
    int before = failed.getOrDefault(store, 0);
    int now = answered ? 0 : before + 1;
    if (now == 0) {
      failed.remove(store);
    } else {
      failed.put(store, now);
    }
    boolean turned = (before >= FAILING) != (now >= FAILING);
    Long shared = sharedUs.get(store);
    if (turned
        || (answered
            && !report.isEmpty()
            && (shared == null || dayUs - shared >= settings.turnUs()))) {
      sharedUs.put(store, dayUs);
      EndpointObservation signal =
          new EndpointObservation(
              store,
              listed.startedMs(),
              view.self().name(),
              numbers.merge(store, 1L, Long::sum),
              dayUs,
              report,
              now);
      signals.take(signal, dayUs);
      rides.addFirst(new Ride(signal));
      trimRides();
    }
    if (turned) {
      dirty.add(listed.cell());
      settle();
    }
  }

  /** Its own probe came to an end; that it was made is news as well, for it was its turn. */
  public void probeEnded(long dayUs, String store, boolean answered, List<Float> report) {
    sharedUs.remove(store);
    saw(dayUs, store, answered, report);
  }

  /**
   * The decisions want that store probed. True: do it now. Else it is another's turn: {@link
   * Out#probed} tells what came of it, or {@link Out#probe} that the turn has come here after all.
   */
  public boolean mayHealthCheck(long dayUs, String store) {
    if (waiting.containsKey(store)) {
      return false;
    }
    if (!stores.containsKey(store)) {
      return true;
    }
    long epoch = turns.epochOf(store, dayUs);
    long begins = turns.beginsUs(store, epoch);
    boolean done = signals.seenSince(store, Math.min(begins, dayUs - settings.turnUs() / 2));
    long due = done ? Long.MAX_VALUE : dueUs(store, epoch);
    if (due <= dayUs) {
      takenOver += due > begins ? 1 : 0;
      mark(dayUs, store, epoch);
      return true;
    }
    long end = begins + settings.turnUs();
    if (due >= end) { // the next epoch may be its own
      due = dueUs(store, epoch + 1);
      end += settings.turnUs();
    }
    if (waiting.size() >= MOST_WAITING) {
      out.probed(store, null);
      return false;
    }
    waiting.put(store, new Waiting(dayUs, due, end));
    answerWaiting();
    return false;
  }

  private long dueUs(String store, long epoch) {
    return turns.dueUs(store, epoch, members, view.self().name(), seen.alone());
  }

  /**
   * It probes in this epoch: that counts as done from now on, before the answer is there. Those who
   * would do it next are told at once; word that rides along would reach them after their own
   * turns.
   */
  private void mark(long dayUs, String store, long epoch) {
    Listed listed = stores.get(store);
    EndpointObservation signal =
        new EndpointObservation(
            store,
            listed.startedMs(),
            view.self().name(),
            numbers.merge(store, 1L, Long::sum),
            dayUs,
            List.of(),
            failed.getOrDefault(store, 0));
    signals.take(signal, dayUs);
    rides.addFirst(new Ride(signal));
    trimRides();
    turns.row(store, epoch, members).stream()
        .filter(name -> !name.equals(view.self().name()))
        .limit(turns.standIns())
        .forEach(view::tell);
  }

  /** Time has passed. */
  public void passed(long nowUs, long dayUs) {
    view.passed(nowUs);
    signals.passed(dayUs);
    for (Map.Entry<String, Waiting> entry : List.copyOf(waiting.entrySet())) {
      Waiting wait = entry.getValue();
      String store = entry.getKey();
      if (dayUs >= wait.dueDayUs() && waiting.remove(store) != null) {
        boolean done =
            signals.seenSince(
                store,
                Math.min(
                    turns.beginsUs(store, turns.epochOf(store, dayUs)),
                    dayUs - settings.turnUs() / 2));
        if (done) {
          out.probed(store, null);
        } else {
          takenOver++;
          mark(dayUs, store, turns.epochOf(store, dayUs));
          out.probe(store);
        }
      } else if (dayUs >= wait.endDayUs() && waiting.remove(store) != null) {
        out.probed(store, null);
      }
    }
    settle();
  }

  /**
   * When {@link #passed} is to be called next, in microseconds of the clock that never runs back.
   */
  public long nextUs(long nowUs, long dayUs) {
    long next = view.nextUs();
    for (Waiting wait : waiting.values()) {
      next =
          Math.min(next, nowUs + Math.max(0, Math.min(wait.dueDayUs(), wait.endDayUs()) - dayUs));
    }
    return next;
  }

  /** It ends. */
  public void leave() {
    view.leave();
  }

  private void answerWaiting() {
    for (Map.Entry<String, Waiting> entry : List.copyOf(waiting.entrySet())) {
      Optional<EndpointObservation> seen =
          signals.report(
              entry.getKey(),
              entry.getValue().sinceDayUs() - settings.turnUs(),
              view.self().name());
      if (seen.isPresent() && waiting.remove(entry.getKey()) != null) {
        out.probed(entry.getKey(), seen.get());
      }
    }
  }

  private void trimRides() {
    while (rides.size() > settings.mostStores()) {
      rides.removeLast();
    }
  }

  /** The newest first, each a few times, within so many bytes. */
  private List<EndpointObservation> riding(int bytes) {
    List<EndpointObservation> riding = new ArrayList<>();
    int room = bytes;
    for (Ride ride : rides) {
      room -= ride.signal.bytes();
      if (riding.size() == MOST_RIDING || room < 0) {
        break;
      }
      ride.left--;
      riding.add(ride.signal);
    }
    rides.removeIf(ride -> ride.left <= 0);
    return riding;
  }

  private void dirtyCellOf(String store) {
    Listed listed = stores.get(store);
    if (listed != null) {
      dirty.add(listed.cell());
    }
  }

  /**
   * Brings what it keeps to in line with who takes part, what the roster says and which stores
   * fail.
   */
  private void settle() {
    ClusterSnapshot next = view.now();
    if (next != seen) {
      seen = next;
      takingPart = seen.alone() ? takingPart : seen.names();
    }
    Set<String> now = takingPart;
    if (!shut.isEmpty()) {
      now = new TreeSet<>(now);
      now.removeIf(name -> shut.contains(name) && !name.equals(view.self().name()));
    }
    boolean others = !now.equals(members);
    if (others) {
      members = now;
      zones = new HashMap<>();
      seen.members().forEach(member -> zones.put(member.name(), member.peer().zone()));
      stores.values().forEach(store -> dirty.add(store.cell()));
    }
    if (dirty.isEmpty() && !others) {
      return;
    }
    Map<String, List<Subsetting.Store>> byCell = new HashMap<>();
    stores.values().stream()
        .filter(store -> store.usable() && dirty.contains(store.cell()))
        .forEach(
            store ->
                byCell
                    .computeIfAbsent(store.cell(), c -> new ArrayList<>())
                    .add(new Subsetting.Store(store.name(), store.zone())));
    List<Subsetting.MemberView> who =
        members.stream()
            .map(name -> new Subsetting.MemberView(name, zones.getOrDefault(name, "")))
            .toList();
    for (String cell : dirty) {
      List<Subsetting.Store> there = byCell.get(cell);
      if (there == null) {
        orders.remove(cell);
      } else {
        orders.put(
            cell,
            withStandIns(
                subsets.of(cell, who, there).get(view.self().name()),
                subsets.size(members.size(), there.size())));
      }
    }
    dirty.clear();
    Set<String> wanted = new HashSet<>();
    orders.values().forEach(wanted::addAll);
    boolean turned = !wanted.equals(kept);
    if (turned) {
      kept = Set.copyOf(wanted);
      changes++;
    }
    if (turned || others) {
      out.keepTo(kept);
    }
  }

  /** The subset, and for each store of it that fails the next spare that does not. */
  private List<String> withStandIns(List<String> order, int size) {
    List<String> wanted = new ArrayList<>(order.subList(0, size));
    int short_ = (int) wanted.stream().filter(this::isFailing).count();
    for (int i = size; i < order.size() && short_ > 0; i++) {
      if (!isFailing(order.get(i))) {
        wanted.add(order.get(i));
        short_--;
      }
    }
    return wanted;
  }

  /**
   * Its own word goes first; else that of more than one other, for one may be cut off from it
   * itself.
   */
  private boolean isFailing(String store) {
    return failed.getOrDefault(store, 0) >= FAILING || signals.failing(store, FAILING) >= 2;
  }
}

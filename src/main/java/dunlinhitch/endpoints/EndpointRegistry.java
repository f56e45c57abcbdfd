package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which stores there are, by what any number of sources claim: claims go in, each with its time,
 * its lifetime and the rank of its source, and one roster comes out as changes, each with its
 * reason. docs/membership.md has the rules.
 *
 * <p>No I/O, no clock, no threads: every call brings the time (microseconds, never running back),
 * and {@link #nextUs} says when {@link #passed} is wanted next. One call's cost goes by what it
 * changes, not by the list. One thread at a time.
 */
public final class EndpointRegistry {
  /**
   * Fresh words before stale ones, then the rank of the source, then the older word; the last two
   * for a fixed order.
   */
  private static final Comparator<Held> ORDER =
      Comparator.<Held>comparingInt(h -> h.stale ? 1 : 0)
          .thenComparingInt(h -> h.source.rank)
          .thenComparingLong(h -> h.sinceUs)
          .thenComparing(h -> h.source.name)
          .thenComparing(h -> h.key);

  private static final Comparator<Store> OLDEST =
      Comparator.<Store>comparingLong(s -> s.benchedSinceUs).thenComparing(s -> s.name);

  /** Somebody who claims stores. */
  private static final class Source {
    private final String name;
    private final int rank;

    /** Its word is taken as it is: no linger, no holding back, no look at addresses. */
    private final boolean trusted;

    private final Map<String, Held> claims = new LinkedHashMap<>();

    /** It has said its whole list: what it brings from now on is new, not merely new to us. */
    private boolean spoke;

    private boolean silent;

    Source(String name, int rank, boolean trusted) {
      this.name = name;
      this.rank = rank;
      this.trusted = trusted;
    }
  }

  /** One claim that stands. */
  private static final class Held {
    private final Source source;
    private final String key;
    private final Store store;
    private Endpoint entry;

    /** Since when the source says just this. */
    private long sinceUs;

    private long heardUs;
    private long untilUs;
    private boolean stale;

    /** It came after the source's whole list. */
    private boolean fresh;

    private TimingWheel.Handle<Runnable> timer;

    Held(Source source, String key, Store store) {
      this.source = source;
      this.key = key;
      this.store = store;
    }
  }

  private static final class Store {
    private final String name;
    private final List<Held> claims = new ArrayList<>(1);
    private EndpointStatus status = EndpointStatus.GONE;
    private StatusReason reason = StatusReason.NOT_CLAIMED;
    private EndpointStatus lastStatus = EndpointStatus.GONE;

    /** What the decisions were told last; null: nothing, or that it is gone. */
    private Endpoint told;

    /** As it last served, for as long as it may still be the same process. */
    private Endpoint served;

    /** When, by whom and for what reason it was last taken back; below 0: it was not. */
    private long withdrawnUs = -1;

    private Source withdrawnBy;
    private Endpoint withdrawnEntry;
    private StatusReason withdrawnFor = StatusReason.TAKEN_BACK;

    /** Withdrawals with less than the calm between them, and when the last was. */
    private int flaps;

    private long flapUs;
    private long holdUntilUs;
    private TimingWheel.Handle<Runnable> timer;
    private String address;
    private int liveCell = -1;
    private int benchedCell = -1;
    private long benchedSinceUs;

    /** Positions for which it stands in. */
    private int standsFor;

    Store(String name) {
      this.name = name;
    }
  }

  /** What the claims of a store come to. */
  private record Verdict(Held by, Endpoint entry, EndpointStatus status, StatusReason reason) {}

  /** A line for operators and for the file of the last known state. */
  public record Row(
      String store,
      EndpointStatus status,
      StatusReason reason,
      Endpoint entry,
      String source,
      String key,
      long sinceUs,
      long heardUs,
      long untilUs,
      boolean stale) {}

  private final EndpointRegistrySettings settings;
  private final TimingWheel<Runnable> wheel;
  private final Map<String, Source> sources = new LinkedHashMap<>();
  private final Map<String, Store> stores = new LinkedHashMap<>();
  private final Map<String, Set<Store>> atAddress = new HashMap<>();

  /** Stores for each cell that serve. */
  private final int[] live;

  /** For each cell who could serve if nobody else did, the oldest word first. */
  private final List<TreeSet<Store>> benched = new ArrayList<>();

  /**
   * For each position (the first cell of a row of those that hold a shard) who stands in, or null.
   */
  private final Store[] standIn;

  private final Set<Integer> dirty = new LinkedHashSet<>();
  private final Set<Store> touched = new LinkedHashSet<>();
  private long now;
  private long refused;
  private long version;

  public EndpointRegistry(EndpointRegistrySettings settings, long nowUs) {
    this.settings = settings;
    now = nowUs;
    wheel = new TimingWheel<>(nowUs);
    live = new int[settings.cells()];
    standIn = new Store[settings.cells()];
    for (int i = 0; i < settings.cells(); i++) {
      benched.add(new TreeSet<>(OLDEST));
    }
  }

  /**
   * A source is there; of two that disagree the one of the lower {@code rank} is believed, of two
   * of one rank neither. {@code trusted}: its word is taken as it is. Naming one again changes
   * nothing.
   */
  public void named(String source, int rank, boolean trusted) {
    sources.computeIfAbsent(source, name -> new Source(name, rank, trusted));
  }

  /**
   * A source says something: its {@code whole} list, and what is not on it is taken back, or some
   * of it. A claim that is older than what is held under its key is passed over.
   */
  public List<EndpointChange> said(
      long nowUs, String sourceName, boolean whole, Collection<EndpointClaim> claims) {
    begin(nowUs);
    Source source = sources.get(sourceName);
    if (source == null) {
      throw new IllegalArgumentException("no such source: " + sourceName);
    }
    source.silent = false;
    Set<String> listed = whole ? new HashSet<>() : Set.of();
    for (EndpointClaim claim : claims) {
      if (whole) {
        listed.add(claim.key());
      }
      take(source, claim);
    }
    if (whole) {
      for (Held held : List.copyOf(source.claims.values())) {
        if (!listed.contains(held.key)) {
          drop(held, StatusReason.TAKEN_BACK);
        }
      }
      source.spoke = true;
    }
    return finish();
  }

  /**
   * A source does not answer. What it said stands, for as long as it is to last and {@code
   * staleForUs} beyond.
   */
  public List<EndpointChange> silent(long nowUs, String sourceName) {
    begin(nowUs);
    Source source = sources.get(sourceName);
    if (source != null && !source.silent) {
      source.silent = true;
      version++;
    }
    return finish();
  }

  /** A source is no longer used: all that it said is taken back. */
  public List<EndpointChange> left(long nowUs, String sourceName) {
    begin(nowUs);
    Source source = sources.remove(sourceName);
    if (source != null) {
      List.copyOf(source.claims.values()).forEach(held -> drop(held, StatusReason.SOURCE_LEFT));
      for (Store s : stores.values()) { // what it took back, others may claim again
        if (s.withdrawnBy == source && s.withdrawnFor == StatusReason.TAKEN_BACK) {
          s.withdrawnFor = StatusReason.SOURCE_LEFT;
          touched.add(s);
        }
      }
    }
    return finish();
  }

  /** Time has gone by. */
  public List<EndpointChange> passed(long nowUs) {
    begin(nowUs);
    return finish();
  }

  /** When {@link #passed} is wanted at the latest, or {@link TimingWheel#NEVER}. */
  public long nextUs() {
    return wheel.nextUs();
  }

  /**
   * Claims that were refused since the start: cells that there are none of, ids beyond the bound.
   */
  public long refused() {
    return refused;
  }

  /**
   * Rises with every change of what {@link #rows} would tell, but for words that are merely said
   * again.
   */
  public long version() {
    return version;
  }

  /** All claims that stand, and stores that are remembered without one. */
  public List<Row> rows() {
    List<Row> rows = new ArrayList<>();
    for (Store s : stores.values()) {
      if (s.claims.isEmpty() && s.status != EndpointStatus.GONE) {
        rows.add(
            new Row(
                s.name,
                s.status,
                s.reason,
                s.told,
                "",
                "",
                s.withdrawnUs,
                s.withdrawnUs,
                TimingWheel.NEVER,
                false));
      }
      for (Held h : s.claims) {
        rows.add(
            new Row(
                s.name,
                s.status,
                s.reason,
                h.entry,
                h.source.name,
                h.key,
                h.sinceUs,
                h.heardUs,
                h.untilUs,
                h.stale || h.source.silent));
      }
    }
    return rows;
  }

  // ---- claims

  private void begin(long nowUs) {
    now = Math.max(now, nowUs);
    wheel.advance(now, Runnable::run);
  }

  private void take(Source source, EndpointClaim claim) {
    Held held = source.claims.get(claim.key());
    if (held != null && claim.heardUs() < held.heardUs) {
      return;
    }
    if (claim.entry() == null || claim.entry().state() == ServerState.GONE) {
      if (held != null) {
        drop(held, StatusReason.TAKEN_BACK);
      }
      return;
    }
    Endpoint entry = claim.entry();
    boolean unusable =
        entry.state() == ServerState.WITHDRAWN
            || (!source.trusted && entry.cell() >= settings.cells());
    if (unusable || (!stores.containsKey(entry.name()) && stores.size() >= settings.mostStores())) {
      refused++;
      if (held != null) {
        drop(held, StatusReason.TAKEN_BACK); // what was said before is not said any more
      }
      return;
    }
    if (held != null && !held.store.name.equals(entry.name())) {
      drop(held, StatusReason.TAKEN_BACK);
      held = null;
    }
    if (held == null) {
      held = new Held(source, claim.key(), stores.computeIfAbsent(entry.name(), Store::new));
      held.fresh = source.spoke;
      held.store.claims.add(held);
      source.claims.put(claim.key(), held);
    }
    if (!entry.equals(held.entry)) {
      held.entry = entry;
      held.sinceUs = claim.heardUs();
      touched.add(held.store);
    }
    held.heardUs = claim.heardUs();
    lasts(held, claim.untilUs());
  }

  private void lasts(Held held, long untilUs) {
    held.untilUs = untilUs;
    wheel.drop(held.timer);
    held.timer = null;
    if (held.stale != untilUs <= now) {
      held.stale = !held.stale;
      touched.add(held.store);
    }
    if (untilUs != TimingWheel.NEVER) {
      long dueUs = held.stale ? untilUs + settings.staleForUs() : untilUs;
      held.timer =
          wheel.set(
              dueUs,
              held.stale ? () -> drop(held, StatusReason.RAN_OUT) : () -> lasts(held, untilUs));
    }
  }

  private void drop(Held held, StatusReason why) {
    wheel.drop(held.timer);
    held.source.claims.remove(held.key, held);
    Store store = held.store;
    store.claims.remove(held);
    touched.add(store);
    if (store.claims.stream().noneMatch(other -> other.source == held.source)) {
      store.withdrawnUs = now;
      store.withdrawnBy = held.source;
      store.withdrawnFor = why;
      store.withdrawnEntry = held.entry;
    }
  }

  // ---- what the claims come to

  /**
   * A word counts unless another source took the store back after it was said: one of higher
   * standing, or one of the same that had said the same. (What equals contradicted is settled by a
   * withdrawal, not ended.)
   */
  private static boolean counts(Store s, Held h) {
    if (s.withdrawnUs < 0
        || h.source == s.withdrawnBy
        || h.source.rank < s.withdrawnBy.rank
        || h.sinceUs >= s.withdrawnUs
        || s.withdrawnFor != StatusReason.TAKEN_BACK) {
      return true;
    }
    return h.source.rank == s.withdrawnBy.rank && conflict(h.entry, s.withdrawnEntry) != null;
  }

  private Verdict judge(Store s) {
    List<Held> all = s.claims.stream().filter(h -> counts(s, h)).sorted(ORDER).toList();
    if (all.isEmpty()) {
      return null;
    }
    Held first = all.get(0);
    Endpoint entry = first.entry;
    StatusReason conflict = null;
    for (Held h : all) {
      if (h.stale != first.stale || h.source.rank != first.source.rank) {
        break;
      }
      conflict = graver(conflict, conflict(entry, h.entry));
      entry = h.entry.state() == ServerState.DRAINING ? entry.in(ServerState.DRAINING) : entry;
      entry = entry.startedUs() == 0 ? entry.startedAt(h.entry.startedUs()) : entry;
    }
    if (conflict == null && !first.source.trusted) {
      meet(s, entry.host() + ":" + entry.port());
      conflict = atAddress.get(s.address).size() > 1 ? StatusReason.SHARED_ADDRESS : null;
    }
    if (conflict != null) {
      return new Verdict(first, entry, EndpointStatus.DISPUTED, conflict);
    }
    boolean draining = entry.state() == ServerState.DRAINING;
    return new Verdict(
        first,
        entry,
        draining
            ? EndpointStatus.DRAINING
            : first.stale ? EndpointStatus.STALE : EndpointStatus.LIVE,
        draining
            ? StatusReason.WANTS_NOTHING
            : first.stale ? StatusReason.PAST_ITS_TIME : StatusReason.CLAIMED);
  }

  private static StatusReason conflict(Endpoint a, Endpoint b) {
    if (a.cell() != b.cell()) {
      return StatusReason.OTHER_CELLS;
    }
    if (!a.sameAddress(b) || a.zone() != b.zone()) {
      return StatusReason.OTHER_ADDRESSES;
    }
    return a.startedUs() != b.startedUs() && a.startedUs() != 0 && b.startedUs() != 0
        ? StatusReason.OTHER_STARTS
        : null;
  }

  private static StatusReason graver(StatusReason a, StatusReason b) {
    return a == null || (b != null && b.ordinal() < a.ordinal()) ? b : a;
  }

  /** A store is at that address, or at none; who else is there has to be looked at again. */
  private void meet(Store s, String address) {
    if (address == null ? s.address == null : address.equals(s.address)) {
      return;
    }
    if (s.address != null) {
      Set<Store> others = atAddress.get(s.address);
      others.remove(s);
      if (others.isEmpty()) {
        atAddress.remove(s.address);
      } else if (others.size() == 1) {
        touched.addAll(others);
      }
    }
    s.address = address;
    if (address != null) {
      Set<Store> others = atAddress.computeIfAbsent(address, a -> new LinkedHashSet<>());
      others.add(s);
      if (others.size() == 2) {
        touched.addAll(others);
      }
    }
  }

  // ---- the roster

  private List<EndpointChange> finish() {
    List<EndpointChange> changes = new ArrayList<>();
    Set<Store> toTell = new LinkedHashSet<>();
    while (!touched.isEmpty()) {
      List<Store> batch = List.copyOf(touched);
      touched.clear();
      for (Store s : batch) {
        settle(s);
        toTell.add(s);
      }
    }
    for (int position : dirty) {
      cover(position, toTell);
    }
    dirty.clear();
    for (Store s : toTell) {
      tell(s, changes);
    }
    version += changes.size();
    return changes;
  }

  private void settle(Store s) {
    Verdict verdict = judge(s);
    if (verdict == null) {
      withdraw(s);
      return;
    }
    wheel.drop(s.timer);
    if (s.status == EndpointStatus.WITHDRAWN) { // it is back
      s.holdUntilUs = now + holdUs(s);
    }
    EndpointStatus status = verdict.status();
    StatusReason reason = verdict.reason();
    if (now < s.holdUntilUs && status != EndpointStatus.DISPUTED) {
      s.timer = wheel.set(s.holdUntilUs, () -> touched.add(s));
      status = EndpointStatus.ANNOUNCED;
      reason = StatusReason.CAME_AND_WENT;
    }
    if (verdict.by().source.trusted
        || (status == EndpointStatus.DISPUTED && reason != StatusReason.SHARED_ADDRESS)) {
      meet(s, null);
    }
    s.status = status;
    s.reason = reason;
    int cell = Math.floorMod(verdict.entry().cell(), settings.cells());
    serve(s, status == EndpointStatus.LIVE || status == EndpointStatus.STALE ? cell : -1);
    boolean mayStandIn =
        (status == EndpointStatus.ANNOUNCED
                || (status == EndpointStatus.DISPUTED && reason != StatusReason.OTHER_CELLS))
            && verdict.entry().state() == ServerState.READY;
    bench(s, mayStandIn ? cell : -1, verdict.by().sinceUs);
  }

  private void withdraw(Store s) {
    meet(s, null);
    serve(s, -1);
    bench(s, -1, 0);
    if (s.status == EndpointStatus.WITHDRAWN) {
      return; // it is remembered for its time
    }
    boolean knewIt = s.status != EndpointStatus.GONE;
    wheel.drop(s.timer);
    s.reason = knewIt ? s.withdrawnFor : s.reason;
    if (s.withdrawnBy == null || s.withdrawnBy.trusted) {
      s.status = EndpointStatus.GONE;
      s.served = null;
      if (s.claims.isEmpty()) {
        stores.remove(s.name);
      }
    } else if (knewIt) {
      s.status = EndpointStatus.WITHDRAWN;
      s.flaps = now - s.flapUs > settings.calmUs() ? 1 : s.flaps + 1;
      s.flapUs = now;
      s.timer = wheel.set(now + settings.lingerUs(), () -> gone(s));
    } else { // its comings and goings count until it was calm for long enough
      s.timer =
          wheel.set(
              now + settings.calmUs(),
              () -> {
                if (s.claims.isEmpty()) {
                  stores.remove(s.name, s);
                }
              });
    }
  }

  private void gone(Store s) {
    s.status = EndpointStatus.GONE;
    s.served = null;
    touched.add(s);
  }

  /** How long a return waits: not at all the first time, then longer each time. */
  private long holdUs(Store s) {
    return s.flaps < 2
        ? 0
        : Math.min(settings.mostHoldUs(), settings.firstHoldUs() << Math.min(20, s.flaps - 2));
  }

  private void serve(Store s, int cell) {
    if (s.liveCell != cell) {
      if (s.liveCell >= 0) {
        live[s.liveCell]--;
        dirtyFor(s.liveCell);
      }
      if (cell >= 0) {
        live[cell]++;
        dirtyFor(cell);
      }
      s.liveCell = cell;
    }
  }

  private void bench(Store s, int cell, long sinceUs) {
    if (s.benchedCell != cell || (cell >= 0 && s.benchedSinceUs != sinceUs)) {
      if (s.benchedCell >= 0) {
        benched.get(s.benchedCell).remove(s);
        dirtyFor(s.benchedCell);
      }
      s.benchedSinceUs = sinceUs;
      s.benchedCell = cell;
      if (cell >= 0) {
        benched.get(cell).add(s);
        dirtyFor(cell);
      }
    }
  }

  private void dirtyFor(int cell) {
    for (int j = 0; j < settings.inARow(); j++) {
      dirty.add(Math.floorMod(cell - j, settings.cells()));
    }
  }

  /**
   * The shards that begin at this cell have a store that serves, or the oldest word of who could
   * stands for it.
   */
  private void cover(int position, Set<Store> toTell) {
    Store best = null;
    for (int j = 0; j < settings.inARow(); j++) {
      int cell = (position + j) % settings.cells();
      if (live[cell] > 0) {
        best = null;
        break;
      }
      Store oldest = benched.get(cell).isEmpty() ? null : benched.get(cell).first();
      best = best == null || (oldest != null && OLDEST.compare(oldest, best) < 0) ? oldest : best;
    }
    Store before = standIn[position];
    if (before != best) {
      standIn[position] = best;
      if (before != null) {
        before.standsFor--;
        toTell.add(before);
      }
      if (best != null) {
        best.standsFor++;
        toTell.add(best);
      }
    }
  }

  private void tell(Store s, List<EndpointChange> changes) {
    Verdict verdict = judge(s);
    Endpoint entry;
    boolean announced = s.withdrawnBy != null && !s.withdrawnBy.trusted;
    if (verdict == null) {
      entry =
          s.told == null
              ? null
              : s.told.in(
                  s.status == EndpointStatus.WITHDRAWN ? ServerState.WITHDRAWN : ServerState.GONE);
    } else {
      announced = !verdict.by().source.trusted;
      if (s.standsFor > 0) {
        s.status = EndpointStatus.STANDING_IN;
      } else if (s.status == EndpointStatus.STANDING_IN) { // others serve again
        s.status =
            verdict.status() == EndpointStatus.DISPUTED
                ? EndpointStatus.DISPUTED
                : EndpointStatus.ANNOUNCED;
      }
      entry = verdict.entry();
      if (!s.status.byItsWord()) {
        entry = entry.in(ServerState.WITHDRAWN);
      } else if (announced) {
        entry = entry.startedAt(startOf(s, verdict));
        s.served = entry;
      }
    }
    boolean told = entry != null && !entry.equals(s.told);
    if (told || s.lastStatus != s.status) {
      s.lastStatus = s.status;
      if (entry != null) {
        changes.add(new EndpointChange(entry, s.status, s.reason, told, announced));
      }
    }
    s.told = s.status == EndpointStatus.GONE ? null : entry;
  }

  /**
   * Since when the process runs, as far as can be told: by its own word; where it serves at another
   * address than before it is another process, whatever it says; one that says nothing and turned
   * up under our eyes is new.
   */
  private static long startOf(Store s, Verdict verdict) {
    long said = verdict.entry().startedUs();
    if (s.served != null) {
      boolean moved = !s.served.sameAddress(verdict.entry());
      boolean again = said > s.served.startedUs();
      return moved && !again
          ? Math.max(verdict.by().sinceUs, said)
          : said == 0 ? s.served.startedUs() : said;
    }
    return said == 0 && verdict.by().fresh ? verdict.by().sinceUs : said;
  }
}

package dunlinhitch.core;

import dunlinhitch.audit.Digest;
import dunlinhitch.audit.Stragglers;
import dunlinhitch.audit.Verdict;
import dunlinhitch.audit.Versions;
import dunlinhitch.core.Tables.StoreRow;
import dunlinhitch.decide.Routing;
import dunlinhitch.decide.Routing.ListKind;
import dunlinhitch.decide.Routing.Outcome;
import dunlinhitch.decide.Routing.ServerEntry;
import dunlinhitch.decide.Routing.ServerState;
import dunlinhitch.fleet.Fleet;
import dunlinhitch.fleet.FleetView;
import dunlinhitch.fleet.Signal;
import dunlinhitch.fleet.Word;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * The stage for many brokers: what the fleet module says to the decisions and to the edges. To the
 * decisions a store outside of the subset is withdrawn: it gets nothing new, and what was learnt of
 * it stays.
 */
final class FleetStage {
  private static final float[] NO_REPORT = {};

  /** Beyond that a line gives only their number. */
  private static final int MOST_NAMED = 24;

  private final StageHost host;
  private final Tables tables;
  private final Counters counters;
  private final long dayOffsetUs;
  private final Fleet fleet;
  private final Stragglers stragglers;
  private final String self;
  private Versions versions;
  private long writtenMs;

  /** What the stragglers were last told of. */
  private FleetView seen;

  private boolean fenced;

  /** As the roster has them, by number. */
  private final Map<Integer, ServerEntry> entries = new HashMap<>();

  private Set<String> kept = Set.of();

  /** Numbers whose standing in the subset changed since the decisions were told. */
  private final Set<Integer> turned = new HashSet<>();

  FleetStage(
      FleetPlace place, long seed, long nowUs, Tables tables, Counters counters, StageHost host) {
    this.host = host;
    this.tables = tables;
    this.counters = counters;
    dayOffsetUs = place.dayOffsetUs();
    self = place.self().name();
    versions = place.versions();
    stragglers = new Stragglers(place.audit(), self, versions);
    fleet = new Fleet(place.self(), place.seeds(), place.settings(), seed, nowUs, new Acts());
    fleet.view().acts(versions);
    seen = fleet.seen();
  }

  /** True while this broker is too far behind to decide anything safely: it lets nothing new in. */
  boolean fenced() {
    return fenced;
  }

  /** Discovery's list that was told is of that generation. */
  void numbered(long generation) {
    acts(versions.withRoster(generation));
  }

  /** The settings file that is taken next was written then. */
  void written(long ms) {
    writtenMs = ms;
  }

  void settingsTaken(Routing.Settings settings) {
    String digest = Digest.of(settings);
    acts(digest.equals(versions.settings()) ? versions : versions.withSettings(digest, writtenMs));
  }

  private void acts(Versions on) {
    versions = on;
    fleet.view().acts(on);
    stragglers.told(host.now(), self, on);
  }

  Fleet fleet() {
    return fleet;
  }

  private long dayUs() {
    return host.now() + dayOffsetUs;
  }

  /** What the roster tells the decisions goes through here. */
  void roster(Routing.Event event) {
    if (!(event instanceof Routing.ServerList list)) {
      host.tell(event);
      return;
    }
    List<Fleet.Listed> changed = new ArrayList<>();
    List<String> gone = new ArrayList<>();
    for (ServerEntry entry : list.servers()) {
      StoreRow row = tables.stores.get(entry.id());
      turned.add(entry.id());
      if (entry.state() == ServerState.GONE) {
        entries.remove(entry.id());
        gone.add(row.entry.name());
      } else {
        entries.put(entry.id(), entry);
        changed.add(
            new Fleet.Listed(
                row.entry.name(),
                Integer.toString(entry.cell()),
                Integer.toString(entry.zone()),
                entry.startedUs() <= 0 ? 0 : (entry.startedUs() + dayOffsetUs) / 1000,
                entry.state() == ServerState.READY));
      }
    }
    fleet.roster(host.now(), changed, gone);
    List<ServerEntry> told = new ArrayList<>();
    list.servers().stream().filter(entry -> entry.state() == ServerState.GONE).forEach(told::add);
    list.servers().forEach(entry -> turned.remove(entry.id()));
    list.servers().stream()
        .filter(entry -> entry.state() != ServerState.GONE)
        .map(this::shown)
        .forEach(told::add);
    told.addAll(turnedEntries());
    host.tell(new Routing.ServerList(list.kind(), told));
  }

  private ServerEntry shown(ServerEntry entry) {
    StoreRow row = tables.stores.get(entry.id());
    boolean out = entry.state() == ServerState.READY && !kept.contains(row.entry.name());
    return out
        ? new ServerEntry(
            entry.id(),
            entry.zone(),
            entry.cell(),
            ServerState.WITHDRAWN,
            entry.size(),
            entry.startedUs())
        : entry;
  }

  private List<ServerEntry> turnedEntries() {
    List<ServerEntry> told = new ArrayList<>();
    for (int number : turned) {
      ServerEntry entry = entries.get(number);
      if (entry != null) {
        told.add(shown(entry));
        if (!kept.contains(tables.stores.get(number).entry.name())) {
          host.effect(new Effect.Release(number));
        }
      }
    }
    turned.clear();
    return told;
  }

  /** What changed by other ways than the roster's. */
  private void tellTurned() {
    if (!turned.isEmpty()) {
      List<ServerEntry> told = turnedEntries();
      if (!told.isEmpty()) {
        host.tell(new Routing.ServerList(ListKind.DELTA, told));
      }
    }
  }

  void heard(Word word) {
    fleet.heard(host.now(), dayUs(), word);
    fleet
        .seen()
        .member(word.from().name())
        .filter(member -> member.versions() != null)
        .ifPresent(member -> stragglers.told(host.now(), member.name(), member.versions()));
    tellTurned();
  }

  void passed() {
    if (fleet.nextUs(host.now(), dayUs()) <= host.now()) {
      fleet.passed(host.now(), dayUs());
      tellTurned();
    }
    if (seen != fleet.seen()) {
      seen = fleet.seen();
      Set<String> there = seen.names();
      stragglers.held().keySet().stream()
          .filter(name -> !there.contains(name))
          .forEach(name -> stragglers.left(host.now(), name));
    }
    if (stragglers.nextUs() <= host.now()) {
      stragglers.passed(host.now()).forEach(this::follow);
    }
  }

  long nextUs() {
    return Math.min(stragglers.nextUs(), fleet.nextUs(host.now(), dayUs()));
  }

  private void follow(Verdict v) {
    boolean own = v.broker().equals(self);
    String who = own ? "this broker" : "broker " + v.broker();
    String acts =
        "it acts on "
            + v.kind().name().toLowerCase(Locale.ROOT)
            + " "
            + v.has()
            + ", and "
            + v.newest()
            + " is newest, for "
            + v.behindUs() / 1000
            + " ms";
    switch (v.step()) {
      case SEEN -> {
        counters.add(Count.STRAGGLERS_SEEN);
        host.effect(new Effect.Log(who + " is behind: " + acts));
      }
      case BRING_UP ->
          host.effect(
              v.kind() == Verdict.Kind.ROSTER ? new Effect.Resync() : new Effect.ReadAgain());
      case SHUT_OUT -> {
        counters.add(Count.STRAGGLERS_SHUT_OUT);
        host.effect(
            new Effect.Log(
                who
                    + " is shut out: "
                    + acts
                    + (own ? "; it takes no query until it has that" : "")));
      }
      case CAUGHT_UP, LET_IN ->
          host.effect(
              new Effect.Log(
                  who
                      + " has caught up: "
                      + v.kind().name().toLowerCase(Locale.ROOT)
                      + " "
                      + v.has()
                      + ", after "
                      + v.behindUs() / 1000
                      + " ms"));
    }
    Set<String> shut = stragglers.shutOut();
    fenced = shut.contains(self);
    fleet.shutOut(shut);
    tellTurned();
  }

  /** An attempt or probe at that store came to an end. */
  void saw(StoreRow store, Outcome outcome, float[] report, boolean probe) {
    boolean answered =
        switch (outcome) {
          case OK, ERROR, FULL -> true;
          case TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT -> false;
        };
    if (outcome == Outcome.CANCELLED || outcome == Outcome.MOOT) {
      return; // it was not the store that ended it
    }
    List<Float> values = IntStream.range(0, report.length).mapToObj(i -> report[i]).toList();
    if (probe) {
      fleet.probeEnded(dayUs(), store.entry.name(), answered, values);
    } else {
      fleet.saw(dayUs(), store.entry.name(), answered, values);
    }
    tellTurned();
  }

  /** True: the probe is to be made here and now; else its end is owed. */
  boolean mayProbe(StoreRow store) {
    boolean mine = fleet.mayProbe(dayUs(), store.entry.name());
    counters.add(mine ? Count.PROBES_IN_TURN : Count.PROBES_LEFT_TO_OTHERS);
    return mine;
  }

  void leave() {
    fleet.leave();
  }

  /** A line for the operators: who takes part, and what this broker keeps to. */
  private void say() {
    Set<String> members = fleet.members();
    long listed =
        tables.stores.values().stream().filter(row -> row.state() == ServerState.READY).count();
    host.effect(
        new Effect.Log(
            "fleet of "
                + members.size()
                + (members.size() <= MOST_NAMED ? ": " + String.join(" ", members) : "")
                + "; keeps to "
                + kept.size()
                + " of "
                + listed
                + " stores"
                + (kept.size() <= MOST_NAMED ? ": " + String.join(" ", new TreeSet<>(kept)) : "")));
  }

  private final class Acts implements Fleet.Out {
    @Override
    public void send(String to, int port, Word word) {
      host.effect(new Effect.TellPeer(to, port, word));
    }

    @Override
    public void keepTo(Set<String> stores) {
      for (StoreRow row : tables.stores.values()) {
        if (kept.contains(row.entry.name()) != stores.contains(row.entry.name())) {
          turned.add(row.number);
        }
      }
      counters.add(Count.SUBSETS_CHANGED, kept.equals(stores) ? 0 : 1);
      kept = stores;
      say();
    }

    @Override
    public void probe(String store) {
      StoreRow row = tables.byName.get(store);
      if (row != null) {
        counters.add(Count.PROBES_IN_TURN);
        host.probe(row);
      }
    }

    @Override
    public void probed(String store, Signal seen) {
      StoreRow row = tables.byName.get(store);
      if (row != null) {
        boolean heard = seen != null && !seen.report().isEmpty();
        host.owe(
            new Routing.ProbeEnded(
                row.number,
                heard ? Outcome.OK : Outcome.MOOT,
                0,
                heard ? seen.values() : NO_REPORT));
      }
    }
  }
}

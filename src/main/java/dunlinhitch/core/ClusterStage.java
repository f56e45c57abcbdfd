package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerEntry;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.cluster.ClusterCoordinator;
import dunlinhitch.cluster.ClusterSnapshot;
import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.versions.SettingsDigest;
import dunlinhitch.cluster.versions.SkewVerdict;
import dunlinhitch.cluster.versions.VersionSkewDetector;
import dunlinhitch.cluster.versions.VersionVector;
import dunlinhitch.core.InFlightRegistry.StoreRow;
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
final class ClusterStage {
  private static final float[] NO_REPORT = {};

  /** Beyond that a line gives only their number. */
  private static final int MOST_NAMED = 24;

  private final StageHost host;
  private final InFlightRegistry tables;
  private final Counters counters;
  private final long dayOffsetUs;
  private final ClusterCoordinator fleet;
  private final VersionSkewDetector stragglers;
  private final String self;
  private VersionVector versions;
  private long writtenMs;

  /** What the stragglers were last told of. */
  private ClusterSnapshot seen;

  private boolean fenced;

  /** As the roster has them, by number. */
  private final Map<Integer, ServerEntry> entries = new HashMap<>();

  private Set<String> kept = Set.of();

  /** Numbers whose standing in the subset changed since the decisions were told. */
  private final Set<Integer> turned = new HashSet<>();

  ClusterStage(
      ClusterIdentity place,
      long seed,
      long nowUs,
      InFlightRegistry tables,
      Counters counters,
      StageHost host) {
    this.host = host;
    this.tables = tables;
    this.counters = counters;
    dayOffsetUs = place.dayOffsetUs();
    self = place.self().name();
    versions = place.versions();
    stragglers = new VersionSkewDetector(place.audit(), self, versions);
    fleet =
        new ClusterCoordinator(
            place.self(), place.seeds(), place.settings(), seed, nowUs, new Acts());
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

  void settingsTaken(Settings settings) {
    String digest = SettingsDigest.of(settings);
    acts(digest.equals(versions.settings()) ? versions : versions.withSettings(digest, writtenMs));
  }

  private void acts(VersionVector on) {
    versions = on;
    fleet.view().acts(on);
    stragglers.told(host.now(), self, on);
  }

  ClusterCoordinator fleet() {
    return fleet;
  }

  private long dayUs() {
    return host.now() + dayOffsetUs;
  }

  /** What the roster tells the decisions goes through here. */
  void roster(BalancerEvent event) {
    if (!(event instanceof BalancerEvent.ServerListUpdated list)) {
      host.tell(event);
      return;
    }
    List<ClusterCoordinator.Listed> changed = new ArrayList<>();
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
            new ClusterCoordinator.Listed(
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
    host.tell(new BalancerEvent.ServerListUpdated(list.kind(), told));
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
          host.effect(new Effect.CloseIdleConnections(number));
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
        host.tell(new BalancerEvent.ServerListUpdated(ServerListKind.DELTA, told));
      }
    }
  }

  void heard(GossipMessage word) {
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

  private void follow(SkewVerdict v) {
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
        counters.add(Counter.STRAGGLERS_SEEN);
        host.effect(new Effect.LogMessage(who + " is behind: " + acts));
      }
      case BRING_UP ->
          host.effect(
              v.kind() == SkewVerdict.Kind.ROSTER
                  ? new Effect.RefreshEndpoints()
                  : new Effect.ReloadConfiguration());
      case SHUT_OUT -> {
        counters.add(Counter.STRAGGLERS_SHUT_OUT);
        host.effect(
            new Effect.LogMessage(
                who
                    + " is shut out: "
                    + acts
                    + (own ? "; it takes no query until it has that" : "")));
      }
      case CAUGHT_UP, LET_IN ->
          host.effect(
              new Effect.LogMessage(
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
  void saw(StoreRow store, AttemptOutcome outcome, float[] report, boolean probe) {
    boolean answered =
        switch (outcome) {
          case OK, ERROR, FULL -> true;
          case TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT -> false;
        };
    if (outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.MOOT) {
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
  boolean mayHealthCheck(StoreRow store) {
    boolean mine = fleet.mayHealthCheck(dayUs(), store.entry.name());
    counters.add(mine ? Counter.PROBES_IN_TURN : Counter.PROBES_LEFT_TO_OTHERS);
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
        new Effect.LogMessage(
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

  private final class Acts implements ClusterCoordinator.Out {
    @Override
    public void send(String to, int port, GossipMessage word) {
      host.effect(new Effect.SendGossip(to, port, word));
    }

    @Override
    public void keepTo(Set<String> stores) {
      for (StoreRow row : tables.stores.values()) {
        if (kept.contains(row.entry.name()) != stores.contains(row.entry.name())) {
          turned.add(row.number);
        }
      }
      counters.add(Counter.SUBSETS_CHANGED, kept.equals(stores) ? 0 : 1);
      kept = stores;
      say();
    }

    @Override
    public void probe(String store) {
      StoreRow row = tables.byName.get(store);
      if (row != null) {
        counters.add(Counter.PROBES_IN_TURN);
        host.probe(row);
      }
    }

    @Override
    public void probed(String store, EndpointObservation seen) {
      StoreRow row = tables.byName.get(store);
      if (row != null) {
        boolean heard = seen != null && !seen.report().isEmpty();
        host.owe(
            new BalancerEvent.HealthCheckCompleted(
                row.number,
                heard ? AttemptOutcome.OK : AttemptOutcome.MOOT,
                0,
                heard ? seen.values() : NO_REPORT));
      }
    }
  }
}

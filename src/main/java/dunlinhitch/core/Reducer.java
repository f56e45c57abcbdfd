package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerActions;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.LoadBalancer;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.InFlightRegistry.AttemptRow;
import dunlinhitch.core.InFlightRegistry.PartRow;
import dunlinhitch.core.InFlightRegistry.ProbeRow;
import dunlinhitch.core.InFlightRegistry.QueryRow;
import dunlinhitch.core.InFlightRegistry.StoreRow;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.EndpointRegistrySettings;
import dunlinhitch.twophase.TwoPhasePlanner;
import dunlinhitch.twophase.TwoPhaseSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Takes every change of a broker's state, a turn at a time: events in, effects out, no reading or
 * writing of its own. The decisions are the module's; this keeps the tables between the names of
 * the wires and the numbers of the decisions, sees that each send gets exactly one end, and is the
 * last guard of the rules.
 */
public final class Reducer {
  static final double WEIGHT_SLACK = 0.0001;

  /** What falls due by itself. Rows that are gone by then are passed over. */
  private record Due(long atUs, long order, DueKind kind, long id) {}

  private enum DueKind {
    ALARM,
    ATTEMPT,
    PROBE,
    QUERY,
    ALONE,
    FIRST_PASS
  }

  private Settings settings;
  private final LoadBalancer policy;
  private final InFlightRegistry tables = new InFlightRegistry();
  private final Counters counters = new Counters();
  private final ClassOutcomes tallies = new ClassOutcomes();
  private final EndpointStage roster;

  /** Null where no class goes in two phases. */
  private final TwoPhaseStage phases;

  /** Null where this broker is none of many that know each other. */
  private final ClusterStage fleet;

  /** What waits for the decisions to have done with an event. */
  private final Deque<Runnable> afterwards = new ArrayDeque<>();

  private boolean deciding;
  private final PriorityQueue<Due> dues =
      new PriorityQueue<>(Comparator.comparingLong(Due::atUs).thenComparingLong(Due::order));

  /** What the decisions are told in a later turn. */
  private record Owed(long atUs, BalancerEvent event) {}

  /**
   * Word that an attempt is given up takes so long to any store. The decisions learn of its end
   * only then: sent at once, the part's next attempt could reach a near store before the word
   * reaches a far one, and two would be out.
   */
  private static final long GIVEN_UP_AFTER_US = 5_000;

  private final List<Owed> owed = new ArrayList<>();
  private final Attempts attempts = new Attempts(tables, counters, new ForAttempts());
  private final SecondStep second = new SecondStep(tables, counters, new ForSecondStep());
  private List<Effect> effects = new ArrayList<>();
  private long now;

  /** Since when what this turn takes may have waited unread. */
  private long heardUs;

  private long order;
  private int lastNumber;
  private long lastProbe;
  private Event.DiscoveryConfigured discovery;
  private long siblingUs;
  private long endUs = Long.MAX_VALUE;
  private boolean stopping;
  private boolean finished;

  public Reducer(Settings settings, long seed, long nowUs) {
    this(settings, null, List.of(), seed, nowUs);
  }

  /**
   * {@code membership} null: the defaults for the layout; {@code inTwoPhases}: classes that go so
   * where it pays.
   */
  public Reducer(
      Settings settings,
      EndpointRegistrySettings membership,
      List<TwoPhaseSettings> inTwoPhases,
      long seed,
      long nowUs) {
    this(settings, membership, inTwoPhases, null, seed, nowUs);
  }

  /** The same; {@code place} null: this broker knows no others. */
  public Reducer(
      Settings settings,
      EndpointRegistrySettings membership,
      List<TwoPhaseSettings> inTwoPhases,
      ClusterIdentity place,
      long seed,
      long nowUs) {
    this.settings = settings;
    now = nowUs;
    fleet =
        place == null
            ? null
            : new ClusterStage(place, seed, nowUs, tables, counters, new ForOthers());
    roster =
        new EndpointStage(
            settings,
            membership,
            nowUs,
            tables,
            counters,
            effect -> effects.add(effect),
            fleet == null ? this::tell : fleet::roster);
    phases =
        inTwoPhases.isEmpty()
            ? null
            : new TwoPhaseStage(
                inTwoPhases, new SplittableRandom(seed), new ForPhases(), tables, counters);
    settings.classes().forEach(kind -> tallies.known(kind.name()));
    policy = new LoadBalancer(seenByDecisions(), seed, new Acts());
    tell(new BalancerEvent.Started());
  }

  private Settings seenByDecisions() {
    return phases == null ? settings : phases.seenByDecisions(settings);
  }

  /** What was learnt of two phases, for operators; empty where there are none. */
  public List<TwoPhasePlanner.Shown> phases() {
    return phases == null ? List.of() : phases.phases().shown(now);
  }

  public Counters counters() {
    return counters;
  }

  /** The settings that hold now; edges ask each time, for a new configuration may bring others. */
  public Settings settings() {
    return settings;
  }

  /** What operators are told. */
  public BrokerStatus figures() {
    List<StoreRow> listed =
        tables.stores.values().stream().filter(row -> row.state() != ServerState.GONE).toList();
    int skipped =
        (int)
            listed.stream()
                .filter(row -> row.state() != ServerState.READY || tables.isBarred(row))
                .count();
    return new BrokerStatus(
        tallies.list(),
        counters.get(Counter.ATTEMPTS_WRITTEN),
        open(),
        listed.size(),
        skipped,
        counters.get(Counter.CONFIGURATIONS_TAKEN),
        counters.get(Counter.BAD_CONFIGURATIONS));
  }

  /** Which stores there are, and why; for those who show or keep it. */
  public EndpointRegistry membership() {
    return roster.membership();
  }

  /** True while this broker acts on what is too far out of date to decide by. */
  public boolean fenced() {
    return fleet != null && fleet.fenced();
  }

  /** Queries that still wait for their answer. */
  public int open() {
    return tables.queries.size();
  }

  /**
   * One turn: all that came in since the last, at one time. Sends of a turn to one store share
   * calls, for a call costs the store work beside that of its parts.
   */
  public List<Effect> turn(long nowUs, List<Event> events) {
    return turn(nowUs, nowUs, events);
  }

  /**
   * The same for a turn that may have come late: what it takes may have waited unread since {@code
   * heardSinceUs} (monotonic µs, at most {@code nowUs}), for the loop had no processor time or was
   * busy. The word that a store drains counts from then, for the grace of a drain runs from the
   * moment it was written to the broker, not from the moment it was read. What is said of the
   * stores is taken before the rest, so that no send of this turn goes by a word it already holds.
   */
  public List<Effect> turn(long nowUs, long heardSinceUs, List<Event> events) {
    now = Math.max(now, nowUs);
    heardUs = Math.min(now, heardSinceUs);
    if (finished) { // nothing is decided or due any more, but whatever a front still reads has a
      // final answer
      events.stream()
          .filter(
              event ->
                  event instanceof Event.QueryReceived || event instanceof Event.ConditionCounted)
          .forEach(this::take);
      return asked();
    }
    List<Owed> ripe = owed.stream().filter(o -> o.atUs() <= now).toList();
    owed.removeAll(ripe);
    if (roster.nextUs() <= now) {
      roster.passed(now);
    }
    if (fleet != null) {
      fleet.passed();
    }
    events.stream().filter(Reducer::aboutStores).forEach(this::take);
    ripe.forEach(o -> tell(o.event()));
    events.stream().filter(event -> !aboutStores(event)).forEach(this::take);
    ringDue();
    attempts.flush(phases != null);
    long next = owed.stream().mapToLong(Owed::atUs).min().orElse(Long.MAX_VALUE);
    next = Math.min(next, roster.nextUs());
    next = fleet == null ? next : Math.min(next, fleet.nextUs());
    next = dues.isEmpty() ? next : Math.min(next, dues.peek().atUs());
    if (next < Long.MAX_VALUE) {
      effects.add(new Effect.ScheduleWakeUp(next));
    }
    if (stopping && !finished && tables.queries.isEmpty()) {
      finished = true;
      effects.add(new Effect.ShutdownCompleted());
    }
    return asked();
  }

  private List<Effect> asked() {
    List<Effect> asked = effects;
    effects = new ArrayList<>();
    return asked;
  }

  /** What says which stores there are and in what state; a turn takes it first. */
  private static boolean aboutStores(Event event) {
    return event instanceof Event.EndpointsUpdated
        || event instanceof Event.DiscoveryUnavailable
        || event instanceof Event.DiscoveryRecovered
        || event instanceof Event.SourceUpdated
        || event instanceof Event.SourceUnavailable
        || event instanceof Event.SourceRegistered
        || event instanceof Event.DisabledEndpointsChanged;
  }

  private void take(Event event) {
    if (event instanceof Event.QueryReceived e) {
      queryTaken(e);
    } else if (event instanceof Event.ClientDisconnected e) {
      clientLeft(e);
    } else if (event instanceof Event.AttemptCompleted e) {
      AttemptRow row = tables.attempts.get(e.attempt());
      if (row != null) {
        tell(attempts.end(row, e.outcome(), e.report(), e.value(), e.score()));
      }
    } else if (event instanceof Event.FirstPassCompleted e) {
      AttemptRow row = tables.attempts.get(e.attempt());
      if (row != null && phases != null) {
        phases.firstCame(row, e);
        tell(attempts.end(row, AttemptOutcome.OK, e.report(), null, Double.NaN));
      }
    } else if (event instanceof Event.AttemptsWritten e) {
      counters.add(Counter.ATTEMPTS_WRITTEN, e.tries());
    } else if (event instanceof Event.HealthCheckCompleted e) {
      probeOver(e.probe(), e.outcome(), e.report());
    } else if (event instanceof Event.EndpointsUpdated e) {
      roster.news(now, heardUs, e);
    } else if (event instanceof Event.DiscoveryUnavailable e) {
      roster.discoverySilent(e.sinceUs());
    } else if (event instanceof Event.DiscoveryRecovered) {
      roster.discoveryHeard();
    } else if (event instanceof Event.SourceRegistered e) {
      roster.named(e);
    } else if (event instanceof Event.SourceUpdated e) {
      roster.said(now, heardUs, e);
    } else if (event instanceof Event.SourceUnavailable e) {
      roster.silent(now, heardUs, e);
    } else if (event instanceof Event.DiscoveryConfigured e) {
      discoveryNamed(e);
    } else if (event instanceof Event.EndpointDisableRequested e) {
      barAsked(e);
    } else if (event instanceof Event.DisabledEndpointsChanged e) {
      e.out().forEach(name -> bar(name, true));
      e.back().forEach(name -> bar(name, false));
    } else if (event instanceof Event.ConfigurationReloaded e) {
      configTaken(e);
    } else if (event instanceof Event.OverlapStarted e) {
      siblingUs = e.untilUs();
      share(siblingUs);
      due(siblingUs, DueKind.ALONE, siblingUs);
    } else if (event instanceof Event.DrainStarted e) {
      endUs = e.dueUs();
      // what was taken before and may last longer has its answer by then too
      tables.queries.values().stream()
          .filter(q -> q.ask.deadlineUs() > endUs)
          .forEach(q -> due(endUs, DueKind.QUERY, q.number));
    } else if (event instanceof Event.ShutdownRequested) {
      stopping = true;
      if (fleet != null) {
        fleet.leave();
      }
    } else if (event instanceof Event.EndpointListGenerationChanged e) {
      if (fleet != null) {
        fleet.numbered(e.generation());
      }
    } else if (event instanceof Event.ConfigurationFileChanged e) {
      if (fleet != null) {
        fleet.written(e.writtenMs());
      }
    } else if (event instanceof Event.GossipReceived e) {
      counters.add(Counter.PEER_WORDS_HEARD);
      if (fleet != null && !stopping) {
        fleet.heard(e.word());
      }
    } else if (event instanceof Event.ConditionCounted e) {
      counters.add(e.what());
    }
  }

  /**
   * A fault in the decisions must not end the broker: what it leaves open is ended when its time is
   * over.
   */
  private void tell(BalancerEvent event) {
    deciding = true;
    try {
      policy.on(now, event);
    } catch (RuntimeException e) {
      counters.add(Counter.FAULTS);
      StackTraceElement[] trace = e.getStackTrace();
      effects.add(
          new Effect.LogMessage(
              "fault in the decisions: " + e + (trace.length > 0 ? " at " + trace[0] : "")));
    } finally {
      deciding = false;
    }
    while (!deciding && !afterwards.isEmpty()) {
      afterwards.poll().run();
    }
  }

  // ---- queries

  private void queryTaken(Event.QueryReceived e) {
    int queryClass = classOf(e.ask().kind().name());
    QueryRequest ask =
        e.ask()
            .dueBy(endUs)
            .under(queryClass < 0 ? e.ask().kind() : settings.classes().get(queryClass));
    counters.add(Counter.QUERIES_TAKEN);
    int tenant = tenantOf(ask.tenant());
    counters.add(Counter.TENANTS_UNKNOWN, settings.tenants().isEmpty() || tenant >= 0 ? 0 : 1);
    // it was read as one without a key: the stores could not know a repeat of its parts
    boolean keyless =
        ask.kind().repeat() == Idempotency.GUARDED
            && e.ask().kind().repeat() != Idempotency.GUARDED;
    boolean full =
        queryClass < 0 // dropped since it was read
            || keyless
            || stopping
            || fenced()
            || tables.held() + 1 + ask.parts().size() > settings.limits().maxInFlight();
    if (full || ask.deadlineUs() <= now || tables.byId.containsKey(ask.id())) {
      counters.add(Counter.TURNED_AWAY);
      long retryAfterUs = settings.limits().retryAfter() ? settings.limits().maxRetryAfterUs() : 0;
      say(e.exchange(), ask, new QueryResponse.Rejected(retryAfterUs));
      return;
    }
    QueryRow q = new QueryRow(++lastNumber, e.exchange(), ask, settings.limits().maxAttempts());
    tables.queries.put(q.number, q);
    tables.byExchange.put(q.exchange, q);
    tables.byId.put(ask.id(), q);
    long hintUs = 0;
    for (QueryRequest.PartRequest partAsk : ask.parts()) {
      PartRow part = new PartRow(++lastNumber, q, partAsk);
      q.parts.add(part);
      tables.parts.put(part.number, part);
      hintUs += partAsk.hintUs();
    }
    counters.add(Counter.PARTS_TAKEN, q.parts.size());
    due(ask.deadlineUs(), DueKind.QUERY, q.number);
    if (phases != null && phases.opens(q)) {
      return;
    }
    tell(
        new BalancerEvent.QueryArrived(
            q.number,
            q.number,
            queryClass,
            tenant,
            q.parts.size(),
            ask.deadlineUs(),
            hintUs,
            ask.repeat()));
    for (PartRow part : q.parts) {
      tell(
          new BalancerEvent.PartArrived(
              part.number, q.number, part.ask.shard(), part.ask.weight(), part.ask.hintUs()));
    }
  }

  /** The place of the class of that name, or -1. */
  private int classOf(String name) {
    for (int i = 0; i < settings.classes().size(); i++) {
      if (settings.classes().get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** The place of the tenant of that name, or -1: the unnamed one. */
  private int tenantOf(String name) {
    for (int i = 0; i < settings.tenants().size() && !name.isEmpty(); i++) {
      if (settings.tenants().get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /**
   * All of a new configuration holds from one moment on; what is open keeps the class it was taken
   * under.
   */
  private void configTaken(Event.ConfigurationReloaded e) {
    counters.add(Counter.CONFIGURATIONS_TAKEN);
    settings = e.settings();
    settings.classes().forEach(kind -> tallies.known(kind.name()));
    if (fleet != null) {
      fleet.settingsTaken(settings);
    }
    share(siblingUs);
    discoveryNamed(new Event.DiscoveryConfigured(e.host(), e.port()));
  }

  /** What all brokers may do together is shared by one more while two processes are this one. */
  private void share(long untilUs) {
    if (untilUs == siblingUs) {
      tell(
          new BalancerEvent.SettingsChanged(
              now < siblingUs
                  ? seenByDecisions().amongBrokers(2 * settings.brokers())
                  : seenByDecisions()));
    }
  }

  private void clientLeft(Event.ClientDisconnected e) {
    QueryRow q = tables.byExchange.get(e.exchange());
    if (q != null) {
      counters.add(Counter.CLIENT_LEFT);
      tables.remove(q);
      if (phases != null) {
        phases.closed(q);
      }
      tell(new BalancerEvent.ClientDisconnected(q.number));
    }
  }

  private QueryClass kind(QueryRow q) {
    return q.ask.kind();
  }

  private void reply(QueryRow q, QueryResponse answer, Counter what) {
    counters.add(what);
    tables.remove(q);
    if (phases != null) {
      phases.closed(q);
    }
    say(q.exchange, q.ask, answer);
  }

  /** The one place where a request ends for its client, and so in one figure. */
  private void say(long exchange, QueryRequest ask, QueryResponse answer) {
    tallies.ended(ask.kind().name(), answer);
    effects.add(new Effect.SendResponse(exchange, answer));
  }

  /** A failure in the last moments of a client's time is worded as what it is. */
  private void giveUp(QueryRow q) {
    if (now >= q.ask.deadlineUs() - 2 * settings.tickUs()) {
      reply(q, new QueryResponse.DeadlineExceeded(), Counter.OUT_OF_TIME);
    } else {
      reply(q, new QueryResponse.Failed(), Counter.FAILED);
    }
  }

  // ---- time

  private void due(long atUs, DueKind kind, long id) {
    dues.add(new Due(atUs, ++order, kind, id));
  }

  private void ringDue() {
    long last = order; // what is set meanwhile waits for the next turn
    List<Due> later = new ArrayList<>();
    while (!dues.isEmpty() && dues.peek().atUs() <= now) {
      Due due = dues.poll();
      if (due.order() > last) {
        later.add(due);
        continue;
      }
      switch (due.kind()) {
        case ALARM -> tell(new BalancerEvent.TimerFired(due.id()));
        case ATTEMPT -> attemptDue(tables.attempts.get(due.id()));
        case PROBE -> probeOver(due.id(), AttemptOutcome.TIMEOUT, new float[0]);
        case ALONE -> share(due.id());
        case FIRST_PASS -> phases.firstDue((int) due.id());
        case QUERY -> queryDue(tables.queries.get((int) due.id()));
      }
    }
    dues.addAll(later);
  }

  private void attemptDue(AttemptRow row) {
    if (row != null) {
      attempts.stopWaiting(row);
      oweGivenUp(attempts.end(row, AttemptOutcome.TIMEOUT));
    }
  }

  private void owe(BalancerEvent event) {
    owed.add(new Owed(now + settings.tickUs(), event));
  }

  private void oweGivenUp(BalancerEvent event) {
    owed.add(new Owed(now + Math.max(settings.tickUs(), GIVEN_UP_AFTER_US), event));
  }

  /** The decisions end a query before its time is over; one that they left open is ended here. */
  private void queryDue(QueryRow q) {
    if (q != null) {
      reply(q, new QueryResponse.DeadlineExceeded(), Counter.OUT_OF_TIME);
      tell(new BalancerEvent.ClientDisconnected(q.number));
    }
  }

  private void probe(StoreRow store) {
    ProbeRow row = new ProbeRow(++lastProbe, store, now);
    tables.probes.put(row.id(), row);
    due(now + settings.limits().connectTimeoutUs(), DueKind.PROBE, row.id());
    counters.add(Counter.PROBES_SENT);
    effects.add(new Effect.SendHealthCheck(store.number, row.id()));
  }

  private void probeOver(long id, AttemptOutcome outcome, float[] report) {
    ProbeRow row = tables.probes.remove(id);
    if (row != null) {
      if (fleet != null) {
        fleet.saw(row.store(), outcome, report, true);
      }
      tell(
          new BalancerEvent.HealthCheckCompleted(
              row.store().number, outcome, now - row.sentUs(), report));
    }
  }

  // ---- stores

  private void barAsked(Event.EndpointDisableRequested e) {
    StoreRow row = tables.byName.get(e.store());
    boolean listed = row != null && row.state() != ServerState.GONE;
    if (!listed && !tables.barred.containsKey(e.store())) {
      effects.add(new Effect.RejectUnknownEndpoint(e.call()));
      return;
    }
    bar(e.store(), e.out());
    effects.add(new Effect.PersistDisabledEndpoint(e.call(), e.store(), e.out()));
  }

  /**
   * Holds until it is called back, whatever the list says meanwhile; what is asked twice changes
   * nothing.
   */
  private void bar(String name, boolean out) {
    if (tables.barred.containsKey(name) == out) {
      return;
    }
    StoreRow row = tables.byName.get(name);
    int number = out ? row == null ? roster.newNumber() : row.number : tables.barred.get(name);
    if (out) {
      tables.barred.put(name, number);
      attempts.drop(number);
    } else {
      tables.barred.remove(name);
    }
    effects.add(
        new Effect.LogMessage("store " + name + (out ? " is out by hand" : " may serve again")));
    if (row != null) {
      effects.add(new Effect.EndpointChanged(number, row.entry, out));
    }
    tell(new BalancerEvent.ServerDisabled(number, out));
  }

  /** The list that is held stands: what the new address knows of it comes from there. */
  private void discoveryNamed(Event.DiscoveryConfigured e) {
    if (!e.equals(discovery)) {
      counters.add(Counter.DISCOVERY_MOVED, discovery == null ? 0 : 1);
      discovery = e;
      effects.add(new Effect.ChangeDiscoveryAddress(e.host(), e.port()));
    }
  }

  /** What the decisions ask for, as rows and effects. */
  private final class Acts implements BalancerActions {
    @Override
    public void send(int partNumber, int server, long dueUs) {
      attempts.send(partNumber, server, dueUs);
    }

    @Override
    public void answer(int query, boolean whole) {
      QueryRow q = tables.queries.get(query);
      if (q == null) {
        ended(query, TwoPhaseStage.End.ANSWERED, 0);
        return;
      }
      if (!q.enough()) {
        counters.add(Counter.ANSWERS_BARRED); // less than the class allows is no answer
        giveUp(q);
        return;
      }
      boolean honest = whole && q.whole();
      if (SecondStep.follows(q)) {
        afterwards.add(() -> second.open(q, honest));
        return;
      }
      reply(
          q,
          new QueryResponse.Served(honest, q.in()),
          honest ? Counter.ANSWERED_WHOLE : Counter.ANSWERED_PARTLY);
    }

    @Override
    public void reject(int query, long retryAfterUs) {
      QueryRow q = tables.queries.get(query);
      if (q == null) {
        ended(query, TwoPhaseStage.End.REFUSED, retryAfterUs);
        return;
      }
      boolean ran = q.all().stream().anyMatch(part -> part.mayHaveRunUs >= 0);
      if (ran && kind(q).repeat() == Idempotency.SINGLE_SHOT) {
        counters.add(Counter.ANSWERS_BARRED); // a refusal would say that asking again is harmless
        giveUp(q);
        return;
      }
      reply(q, new QueryResponse.Rejected(retryAfterUs), Counter.REFUSED);
    }

    @Override
    public void fail(int query) {
      QueryRow q = tables.queries.get(query);
      if (q != null) {
        giveUp(q);
      } else {
        ended(query, TwoPhaseStage.End.FAILED, 0);
      }
    }

    private void ended(int leg, TwoPhaseStage.End how, long retryAfterUs) {
      if (phases != null) {
        phases.ended(leg, how, retryAfterUs);
      }
    }

    @Override
    public void cancel(int part, int attempt) {
      AttemptRow row = tables.attempt(part, attempt);
      if (row != null) {
        attempts.stopWaiting(row);
        oweGivenUp(attempts.end(row, AttemptOutcome.CANCELLED));
      }
    }

    @Override
    public void closeIdleConnections(int server) {
      effects.add(new Effect.CloseIdleConnections(server));
    }

    @Override
    public void sendHealthCheck(int server) {
      StoreRow store = tables.stores.get(server);
      if (store == null || tables.isBarred(store)) {
        owe(new BalancerEvent.HealthCheckCompleted(server, AttemptOutcome.MOOT, 0, new float[0]));
        return;
      }
      if (fleet == null || fleet.mayHealthCheck(store)) {
        Reducer.this.probe(store);
      }
    }

    @Override
    public void scheduleTimer(long token, long dueUs) {
      due(dueUs, DueKind.ALARM, token);
    }

    @Override
    public void subscribeToServerList() {
      effects.add(new Effect.RefreshEndpoints());
    }

    @Override
    public void log(String text) {
      effects.add(new Effect.LogMessage(text));
    }
  }

  /** What the attempts ask for. */
  private final class ForAttempts implements Attempts.Host {
    @Override
    public long now() {
      return now;
    }

    @Override
    public Settings settings() {
      return settings;
    }

    @Override
    public void effect(Effect effect) {
      effects.add(effect);
    }

    @Override
    public void due(long atUs, long attempt) {
      Reducer.this.due(atUs, DueKind.ATTEMPT, attempt);
    }

    @Override
    public void owe(BalancerEvent event) {
      Reducer.this.owe(event);
    }

    @Override
    public void ended(AttemptRow row, AttemptOutcome outcome, float[] report, String value) {
      if (fleet != null) {
        fleet.saw(row.store(), outcome, report, false);
      }
      if (phases != null && outcome == AttemptOutcome.OK && !row.first()) {
        phases.fullCame(row, value);
      }
    }
  }

  /** What the second step asks for. */
  private final class ForSecondStep implements SecondStep.Host {
    @Override
    public int newNumber() {
      return ++lastNumber;
    }

    @Override
    public void tell(BalancerEvent event) {
      Reducer.this.tell(event);
    }
  }

  /** What the stage for many brokers may do. */
  private final class ForOthers implements StageHost {
    @Override
    public long now() {
      return now;
    }

    @Override
    public void tell(BalancerEvent event) {
      if (deciding) {
        afterwards.add(() -> Reducer.this.tell(event));
      } else {
        Reducer.this.tell(event);
      }
    }

    @Override
    public void owe(BalancerEvent event) {
      Reducer.this.owe(event);
    }

    @Override
    public void probe(StoreRow store) {
      Reducer.this.probe(store);
    }

    @Override
    public void effect(Effect effect) {
      effects.add(effect);
    }
  }

  /** What the stage for two phases may do. */
  private final class ForPhases implements TwoPhaseStage.Host {
    @Override
    public long now() {
      return now;
    }

    @Override
    public Settings settings() {
      return settings;
    }

    @Override
    public int classOf(String name) {
      return Reducer.this.classOf(name);
    }

    @Override
    public int tenantOf(String name) {
      return Reducer.this.tenantOf(name);
    }

    @Override
    public int newNumber() {
      return ++lastNumber;
    }

    @Override
    public void tell(BalancerEvent event) {
      Reducer.this.tell(event);
    }

    @Override
    public void later(Runnable task) {
      if (deciding) {
        afterwards.add(task);
      } else {
        task.run();
      }
    }

    @Override
    public void wakeFor(long atUs, int query) {
      due(atUs, DueKind.FIRST_PASS, query);
    }

    @Override
    public void endAttempts(PartRow part) {
      for (AttemptRow row : tables.attemptsOf(part)) {
        attempts.stopWaiting(row);
        Reducer.this.tell(attempts.end(row, AttemptOutcome.CANCELLED));
      }
    }

    @Override
    public void reply(QueryRow q, QueryResponse answer, Counter what) {
      Reducer.this.reply(q, answer, what);
    }

    @Override
    public void giveUp(QueryRow q) {
      Reducer.this.giveUp(q);
    }

    @Override
    public void log(String text) {
      effects.add(new Effect.LogMessage(text));
    }

    @Override
    public void retune() {
      share(siblingUs);
    }
  }
}

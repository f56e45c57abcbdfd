package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.InFlightRegistry.AttemptRow;
import dunlinhitch.core.InFlightRegistry.PartRow;
import dunlinhitch.core.InFlightRegistry.QueryRow;
import dunlinhitch.core.InFlightRegistry.StoreRow;
import dunlinhitch.twophase.TwoPhasePlan;
import dunlinhitch.twophase.TwoPhasePlanner;
import dunlinhitch.twophase.TwoPhaseSettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The reducer's stage for queries in two phases: what {@link TwoPhasePlanner} decides becomes legs,
 * which are queries of the decisions' own, and what the legs come to becomes the one answer.
 * docs/phases.md has the rules.
 */
final class TwoPhaseStage {
  private static final String FIRST = "#first";

  /**
   * Of a first pass, while nothing is known; the least that is believed; and by how much it changes
   * before it is told.
   */
  private static final double FIRST_PRICE = 0.1;

  private static final double LEAST_PRICE = 0.001;
  private static final double PRICE_STEP = 1.25;
  private static final long SAY_EVERY_US = 10_000_000;

  /** What was last said of a class. */
  private record Said(TwoPhasePlan.Why why, long atUs) {}

  /** How the decisions ended a leg. */
  enum End {
    ANSWERED,
    REFUSED,
    FAILED
  }

  /** What this needs of the reducer. */
  interface Host {
    long now();

    Settings settings();

    int classOf(String name);

    int tenantOf(String name);

    int newNumber();

    /** Tells the decisions, outside of their own actions. */
    void tell(BalancerEvent event);

    /** Does it as soon as the decisions have done with the present event. */
    void later(Runnable task);

    void wakeFor(long atUs, int query);

    /** Ends what is out for a part. */
    void endAttempts(PartRow part);

    void reply(QueryRow q, QueryResponse answer, Counter what);

    void giveUp(QueryRow q);

    void log(String text);

    /** The decisions are to be told the settings anew. */
    void retune();
  }

  /** One client's query on its way in legs. */
  private static final class Split {
    private final QueryRow q;
    private final Map<Integer, PartRow> first = new LinkedHashMap<>();
    private final Map<Integer, TwoPhasePlanner.First> answers = new HashMap<>();
    private final Set<Integer> pruned = new HashSet<>();
    private final Set<Integer> audited = new HashSet<>();
    private final Set<Integer> legs = new HashSet<>();
    private int firstLeg;
    private boolean refused;
    private long retryAfterUs;
    private final long begunUs;

    Split(QueryRow q, long begunUs) {
      this.q = q;
      this.begunUs = begunUs;
    }
  }

  private final Host host;
  private final InFlightRegistry tables;
  private final Counters counters;
  private final TwoPhasePlanner phases;
  private final List<TwoPhaseSettings> settings;
  private final Map<String, Double> prices = new HashMap<>();
  private final Map<String, Said> said = new HashMap<>();
  private final Map<Integer, Split> splits = new HashMap<>();
  private final Map<Integer, Split> byLeg = new HashMap<>();

  /** For each cell whether it has stores of two phases only; made anew when the roster changes. */
  private boolean[] able = {};

  private long ableVersion = -1;

  TwoPhaseStage(
      Collection<TwoPhaseSettings> settings,
      RandomGenerator random,
      Host host,
      InFlightRegistry tables,
      Counters counters) {
    this.settings = List.copyOf(settings);
    this.host = host;
    this.tables = tables;
    this.counters = counters;
    phases = new TwoPhasePlanner(settings, random);
  }

  /**
   * What the decisions are told the settings are: beside each class in two phases one for its first
   * pass. Its worth is that of the class times the price: the decisions refuse what brings little
   * worth for its work, and beside first passes that seem to bring the whole worth for nothing,
   * full parts would be refused.
   */
  Settings seenByDecisions(Settings told) {
    List<QueryClass> classes = new ArrayList<>(told.classes());
    for (TwoPhaseSettings phase : settings) {
      told.classes().stream()
          .filter(kind -> kind.name().equals(phase.queryClass()))
          .findFirst()
          .ifPresent(
              kind ->
                  classes.add(
                      new QueryClass(
                          kind.name() + FIRST,
                          kind.latencyObjectiveUs(),
                          0,
                          kind.deadlineUs(),
                          Idempotency.FREE,
                          0,
                          0,
                          kind.priorityWeight() * priceOf(phase.queryClass()),
                          false,
                          0,
                          0,
                          1,
                          1)));
    }
    return told.withClasses(classes);
  }

  private double priceOf(String name) {
    return prices.computeIfAbsent(name, k -> FIRST_PRICE);
  }

  /** A price that has become another is told. */
  private void follow(String name) {
    double price = Math.max(LEAST_PRICE, phases.price(name));
    double told = priceOf(name);
    if (phases.price(name) > 0 && (price > told * PRICE_STEP || price < told / PRICE_STEP)) {
      prices.put(name, price);
      host.retune();
    }
  }

  private int firstClassOf(String name) {
    int at = host.settings().classes().size();
    for (TwoPhaseSettings phase : settings) {
      if (host.classOf(phase.queryClass()) >= 0) {
        if (phase.queryClass().equals(name)) {
          return at;
        }
        at++;
      }
    }
    return -1;
  }

  TwoPhasePlanner phases() {
    return phases;
  }

  // ---- the way of a query

  /** True where the query goes in legs; else the decisions get it as it is. */
  boolean opens(QueryRow q) {
    String name = q.ask.kind().name();
    if (!phases.isSet(name) || q.ask.kind().repeat() != Idempotency.FREE) {
      return false;
    }
    List<Integer> shards = q.parts.stream().map(part -> part.ask.shard()).toList();
    Set<Integer> may = new HashSet<>();
    shards.stream().filter(this::isAble).forEach(may::add);
    long until = Math.min(q.ask.deadlineUs(), host.now() + q.ask.kind().latencyObjectiveUs());
    TwoPhasePlan plan = phases.arrived(host.now(), name, shards, may, q.ask.text(), until);
    counters.add(plan.twoPhases() ? Counter.QUERIES_IN_TWO_PHASES : Counter.QUERIES_IN_ONE_PHASE);
    say(name, plan.why());
    if (!plan.twoPhases()) {
      return false;
    }
    follow(name);
    Split s = new Split(q, host.now());
    splits.put(q.number, s);
    List<PartRow> atOnce = new ArrayList<>();
    for (PartRow part : q.parts) {
      if (plan.first().contains(part.ask.shard())) {
        part.first = true;
        s.first.put(part.ask.shard(), part);
      } else {
        atOnce.add(part);
      }
    }
    open(s, firstClassOf(name), List.copyOf(s.first.values()), plan.firstEndUs(), true);
    if (!atOnce.isEmpty() && splits.containsKey(q.number)) {
      open(s, host.classOf(name), atOnce, q.ask.deadlineUs(), false);
    }
    host.wakeFor(plan.firstEndUs(), q.number);
    return true;
  }

  /**
   * A line when queries of a class begin to go another way, and why; not for what a single query is
   * like.
   */
  private void say(String name, TwoPhasePlan.Why why) {
    boolean ofTheQuery =
        why == TwoPhasePlan.Why.TRIAL
            || why == TwoPhasePlan.Why.FEW_BLOCKS
            || why == TwoPhasePlan.Why.KNOWN_FULL
            || why == TwoPhasePlan.Why.TOO_LITTLE_TIME;
    Said before = said.get(name);
    if (ofTheQuery
        || (before != null && (before.why() == why || host.now() < before.atUs() + SAY_EVERY_US))) {
      return;
    }
    said.put(name, new Said(why, host.now()));
    phases.shown(host.now()).stream()
        .filter(shown -> shown.queryClass().equals(name))
        .forEach(
            shown ->
                host.log(
                    String.format(
                        Locale.ROOT,
                        "%s goes in %s: %s (share of empty blocks %.2f, price of a first pass %.2f)",
                        name,
                        why == TwoPhasePlan.Why.TWO_PHASES ? "two phases" : "one phase",
                        words(why),
                        shown.empty(),
                        shown.price())));
  }

  private static String words(TwoPhasePlan.Why why) {
    return switch (why) {
      case TWO_PHASES -> "it pays";
      case DOES_NOT_PAY -> "it does not pay, or too little is known yet";
      case CLOSED -> "pruning is closed after an audit";
      case ONE_PHASE_STORES -> "a store of each of its blocks knows no first pass";
      default -> why.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    };
  }

  /** A query of the decisions' own for some of the parts; weights are scaled to 1. */
  private void open(Split s, int queryClass, List<PartRow> parts, long deadlineUs, boolean first) {
    int leg = host.newNumber();
    s.firstLeg = first ? leg : s.firstLeg;
    s.legs.add(leg);
    byLeg.put(leg, s);
    double weight = parts.stream().mapToDouble(part -> part.ask.weight()).sum();
    long hint = !first ? parts.stream().mapToLong(part -> part.ask.hintUs()).sum() : 0;
    host.tell(
        new BalancerEvent.QueryArrived(
            leg,
            leg,
            queryClass,
            host.tenantOf(s.q.ask.tenant()),
            parts.size(),
            deadlineUs,
            hint,
            s.q.ask.repeat()));
    for (PartRow part : parts) {
      double share = weight > 0 ? part.ask.weight() / weight : 1.0 / parts.size();
      host.tell(
          new BalancerEvent.PartArrived(
              part.number, leg, part.ask.shard(), share, first ? 0 : part.ask.hintUs()));
    }
  }

  /** Every store that holds the shard and may get something new can say first, and there is one. */
  private boolean isAble(int shard) {
    int cells = host.settings().layout().cells();
    if (ableVersion != tables.storesVersion || able.length != cells) {
      boolean[] two = new boolean[cells];
      boolean[] one = new boolean[cells];
      for (StoreRow row : tables.stores.values()) {
        if (row.state() != ServerState.GONE && row.state() != ServerState.WITHDRAWN) {
          (row.entry.phases() >= 2 ? two : one)[Math.floorMod(row.entry.cell(), cells)] = true;
        }
      }
      able = new boolean[cells];
      for (int position = 0; position < cells; position++) {
        boolean any = false;
        boolean all = true;
        for (int j = 0; j < host.settings().layout().inARow(); j++) {
          any |= two[(position + j) % cells];
          all &= !one[(position + j) % cells];
        }
        able[position] = any && all;
      }
      ableVersion = tables.storesVersion;
    }
    return able[Math.floorMod(shard, cells)];
  }

  /** The decisions have ended one of their queries; false where it is no leg. */
  boolean ended(int leg, End how, long retryAfterUs) {
    if (!byLeg.containsKey(leg)) {
      return false;
    }
    host.later(() -> legOver(leg, how, retryAfterUs));
    return true;
  }

  private void legOver(int leg, End how, long retryAfterUs) {
    Split s = byLeg.remove(leg);
    if (s == null) {
      return;
    }
    s.legs.remove(leg);
    if (leg
        == s.firstLeg) { // also one that was turned away: then all of it is asked for in full, if
      // that is let in
      firstOver(s);
      return;
    }
    s.refused |= how == End.REFUSED;
    s.retryAfterUs = Math.max(s.retryAfterUs, retryAfterUs);
    finish(s);
  }

  /** The moment of the first pass's end; what it has not brought by then it does not bring. */
  void firstDue(int query) {
    Split s = splits.get(query);
    if (s != null && s.firstLeg != 0) {
      int leg = s.firstLeg;
      byLeg.remove(leg);
      s.legs.remove(leg);
      host.tell(new BalancerEvent.ClientDisconnected(leg));
      firstOver(s);
    }
  }

  /** A first answer, of an attempt that was still waited for. */
  void firstCame(AttemptRow row, Event.FirstPassCompleted e) {
    Split s = splits.get(row.part().query.number);
    if (s != null && row.first()) {
      TwoPhasePlanner.First answer =
          new TwoPhasePlanner.First(e.records(), e.version(), e.emptyValue());
      s.answers.put(row.part().ask.shard(), answer);
      phases.firstCame(
          host.now(),
          s.q.ask.kind().name(),
          row.part().ask.shard(),
          s.q.ask.text(),
          answer,
          e.cameUs() - row.sentUs());
    }
  }

  /** A full answer, of whatever query. */
  void fullCame(AttemptRow row, String value) {
    QueryRow q = row.part().query;
    String name = q.ask.kind().name();
    if (!phases.isSet(name)) {
      return;
    }
    // it came within the tick before this turn
    phases.fullCame(host.now(), name, host.now() - row.sentUs() - host.settings().tickUs() / 2);
    Split s = splits.get(q.number);
    int shard = row.part().ask.shard();
    if (s != null && s.audited.remove(shard)) {
      boolean same = s.answers.get(shard).emptyValue().equals(value);
      counters.add(same ? Counter.AUDITS_GOOD : Counter.AUDITS_BAD);
      if (phases.audited(host.now(), name, shard, same)) {
        host.log(
            "pruning is closed for "
                + name
                + ": shard "
                + shard
                + " had something after store "
                + row.store().entry.name()
                + " or another had said that it has nothing");
      }
    }
  }

  private void firstOver(Split s) {
    s.firstLeg = 0;
    if (s.answers.size() < s.first.size()) {
      counters.add(
          Counter.FIRST_PASSES_LATE); // or failed: blocks without an answer are asked in full
      s.first.values().stream()
          .filter(part -> part.out > 0 && !s.answers.containsKey(part.ask.shard()))
          .forEach(
              part ->
                  phases.firstMissed(host.now(), s.q.ask.kind().name(), host.now() - s.begunUs));
    }
    s.first.values().forEach(host::endAttempts);
    TwoPhasePlanner.Outcome outcome =
        phases.over(host.now(), s.q.ask.kind().name(), s.q.ask.text(), s.first.keySet(), s.answers);
    s.audited.addAll(outcome.audited());
    for (int shard : outcome.pruned()) {
      s.first.get(shard).value = s.answers.get(shard).emptyValue();
      s.pruned.add(shard);
    }
    counters.add(Counter.BLOCKS_PRUNED, outcome.pruned().size());
    List<PartRow> full = new ArrayList<>();
    for (int shard : outcome.full()) {
      PartRow part = s.first.get(shard);
      tables.renumber(part, host.newNumber());
      full.add(part);
    }
    if (!full.isEmpty()) {
      open(s, host.classOf(s.q.ask.kind().name()), full, s.q.ask.deadlineUs(), false);
    }
    finish(s);
  }

  /** All legs are over: what is in, pruned or full, is the answer, if it is enough for one. */
  private void finish(Split s) {
    if (s.firstLeg != 0 || !s.legs.isEmpty() || splits.get(s.q.number) != s) {
      return;
    }
    if (s.q.enough()) {
      boolean whole = s.q.whole();
      List<Integer> pruned = s.q.ask.showPruned() ? s.pruned.stream().sorted().toList() : null;
      host.reply(
          s.q,
          new QueryResponse.Served(whole, s.q.in(), pruned),
          whole ? Counter.ANSWERED_WHOLE : Counter.ANSWERED_PARTLY);
    } else if (s.refused) {
      host.reply(s.q, new QueryResponse.Rejected(s.retryAfterUs), Counter.REFUSED);
    } else {
      host.giveUp(s.q);
    }
  }

  /** The query is over for its client: the decisions are told of what was still open of it. */
  void closed(QueryRow q) {
    Split s = splits.remove(q.number);
    if (s != null) {
      for (int leg : s.legs) {
        byLeg.remove(leg);
        host.later(() -> host.tell(new BalancerEvent.ClientDisconnected(leg)));
      }
    }
  }
}

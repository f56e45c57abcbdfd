package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.AttemptCompleted;
import dunlinhitch.balancer.BalancerEvent.ClientDisconnected;
import dunlinhitch.balancer.BalancerEvent.HealthCheckCompleted;
import dunlinhitch.balancer.BalancerEvent.PartArrived;
import dunlinhitch.balancer.BalancerEvent.QueryArrived;
import dunlinhitch.balancer.BalancerEvent.ServerDisabled;
import dunlinhitch.balancer.BalancerEvent.ServerListUpdated;
import dunlinhitch.balancer.BalancerEvent.SettingsChanged;
import dunlinhitch.balancer.BalancerEvent.Started;
import dunlinhitch.balancer.BalancerEvent.TimerFired;
import dunlinhitch.balancer.State.*;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Rules;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.Tenant;
import java.util.*;

/**
 * Every decision of one aggregator. The ordinary path is Graham's rule over a ledger: each part
 * goes to the replica of its shard with the least predicted outstanding work, charged at send,
 * released at the end of the attempt. All else here estimates that work better or says what to do
 * when an attempt does not come back.
 */
public final class LoadBalancer {
  // ---- settings: tuned values; times follow the classes' aims, work is in microseconds

  private static final double FIRST_WORK = 0.1; // a part's work before any was seen, of its aim
  private static final double FIRST_ELAPSED = 0.2; // and its time
  private static final double WORK_RISE = 32; // aims in which learned work grows e-fold at the most
  private static final int WINDOW = 64; // times kept for each class
  private static final int SWEEPS_PER_AIM = 64;
  private static final long SWEEP_LEAST_US =
      10_000; // each looks at all that is out, and time is metered
  private static final long MARGIN_LEAST_US =
      10_000; // writing it out takes as long where ticks are short
  private static final double LAG_KEPT = 0.8; // from sweep to sweep
  private static final double UNSENT_SHARE =
      0.48; // of a query's time: after half a refusal is dear
  private static final long TEND_SWEEPS =
      4; // until a late part that was not helped is looked at again
  private static final double PACE_MOST =
      20; // so many times slower than foreseen says no more than "slow"
  private static final double DEBT_UNITS = 4; // debt left by a failure, doubled with each in a row
  private static final double DEBT_CAP = 64;
  private static final double DEBT_KEPT = 0.7; // what a success leaves of it
  private static final double DEBT_MOST_AIMS = 10; // for so long, where a server is sent to seldom
  private static final double LATE_FACTOR =
      2; // an answer that took more than this leaves the rest as debt
  private static final double SILENT_FACTOR = 5; // silence of so many times the foreseen is no load
  private static final double COPY_SHARE =
      0.7; // of the attempts' budget; the rest is for what has failed
  private static final double SERVED_AIMS = 10; // of so long is what warm servers were seen to do
  private static final double COLD_SHARE = 0.6; // of a cold server's budget: work is only estimated
  private static final double PROBES_PER_PART =
      0.2; // while queries are answered; all replicas if none is
  private static final double PROBE_PRICE = 0.012; // beyond it, as many fewer
  private static final long SCOUTS_PER_AIM =
      32; // a query waits for its probes for this part of an aim
  private static final double HOPELESS_SHARE =
      0.5; // a part unsent with less than this of its work is late
  // of its time a query may wait; up to twice that the more of the load is this aggregator's own
  private static final double PATIENCE = 0.5;
  private static final double PATIENCE_MOST = 1.4; // how far worth per work moves that share
  private static final double WAIT_LEAST = 0.2; // wait for each part ahead, of its work: many cores
  private static final double FLEET_STEP =
      0.02; // weight of the newest of a row about the whole fleet
  private static final double TRY_CUT = 0.97; // a try shorter than this share of the longest is cut
  private static final double REPEAT_WORTH =
      0.6; // of what is asked again: part of its time is gone
  private static final double WAY_QUANTILE = 0.25; // of a zone's parts, those quicker than its way
  private static final double LOST_LEAST = 0.1; // share lost on idle connections that is no chance
  private static final double LOST_STEP = 0.05;
  private static final double CROSSING = 5; // aims of work that its whole price is worth
  private static final double SECOND_QUANTILE =
      0.9; // of what parts take: time kept for a second step,
  private static final double SECOND_MOST = 0.3; // and of the aim at the most
  private static final double LEAD_WORK = 0.7; // one part goes ahead for this share of its work,
  private static final double LEAD_MOST = 0.1; // and of the query's time at the most,
  private static final double LEAD_WIDE =
      0.18; // where a query may bring down this share of the servers
  private static final int LEAD_LEAST = 8; // and so many,
  private static final double ABOUT_AIMS = 10; // or news of such is no older
  private static final int SUSPECT_RESETS =
      2; // parts lost make a query suspect; one if asked again
  private static final double WEIGHT_SLACK = 0.00005;
  private static final double REPORT_STEP = 0.4; // weight of the newest: what lasts counts more
  private static final double REPORT_CAP = 200; // most that a report may say, in parts: it can lie

  private static final double TRIAL_WITHIN_US = 2e6; // what is back gets its first part so soon

  private Settings settings;
  private final BalancerActions actions;
  private final SplittableRandom random;
  private List<Learned> classes = List.of(); // in the order of the settings
  private long sweepUs;
  private long marginUs;
  private long reportAgeUs;
  private long now;

  public LoadBalancer(Settings settings, long seed, BalancerActions actions) {
    this.actions = actions;
    random = new SplittableRandom(seed);
    tune(settings);
  }

  /**
   * Takes settings as a whole. A class of the same name keeps what was learned of it, wherever it
   * stands; an open query keeps the class, and the number of attempts, that it came under.
   */
  private void tune(Settings told) {
    tenantLoad =
        settings != null && settings.tenants().equals(told.tenants())
            ? tenantLoad
            : new Shares(told.tenants().size());
    settings = told;
    classes = Learned.carry(classes, settings.classes(), WINDOW, FIRST_ELAPSED);
    long shortest =
        settings.classes().stream().mapToLong(QueryClass::latencyObjectiveUs).min().orElseThrow();
    sweepUs = Math.max(Math.max(settings.tickUs(), SWEEP_LEAST_US), shortest / SWEEPS_PER_AIM);
    marginUs = Math.max(MARGIN_LEAST_US, 2 * settings.tickUs());
    reportAgeUs = shortest;
  }

  /**
   * Takes one event; actions are called before this returns. A peer's message changes nothing, for
   * aggregators share nothing; an answer that began is still awaited.
   */
  public void on(long nowUs, BalancerEvent event) {
    now = Math.max(now, nowUs);
    if (event instanceof QueryArrived e) {
      queryArrived(e);
    } else if (event instanceof PartArrived e) {
      partArrived(e);
    } else if (event instanceof AttemptCompleted e) {
      attemptEnded(e);
    } else if (event instanceof HealthCheckCompleted e) {
      probeEnded(e);
    } else if (event instanceof ServerListUpdated e) {
      serverList(e);
    } else if (event instanceof TimerFired e) {
      alarmRang(e);
    } else if (event instanceof ClientDisconnected e) {
      clientLeft(e);
    } else if (event instanceof ServerDisabled e) {
      serverBarred(e);
    } else if (event instanceof SettingsChanged e) {
      tune(e.settings());
    } else if (event instanceof Started) {
      start();
    }
  }

  // ---- ledger: what is out, by server, in predicted work ------------------------------

  /**
   * Work of a part of the class: a low quantile of what parts took, for waiting is in the higher
   * ones.
   */
  private double typicalUs(Learned c) {
    return c.workUs > 0 ? c.workUs : c.kind.latencyObjectiveUs() * FIRST_WORK;
  }

  /** In a jam all parts wait: what is learned may fall at once but rise only slowly. */
  private void learnWork(Learned c) {
    if (c.took.seen >= WINDOW / 8) {
      double most = c.workUs / faded(c.workAtUs, WORK_RISE * reportAgeUs);
      double least = Math.max(1, 1.5 * c.took.quantile(0.1));
      c.workUs = most > 0 ? Math.min(most, least) : least;
      c.workAtUs = now;
    }
  }

  private final ServerTable servers = new ServerTable();
  private final Open pending = new Open();

  private double workOf(Part part) {
    return part.hintUs > 0 ? part.hintUs : typicalUs(part.query.learned);
  }

  /** The unit of work: a typical part over all classes. */
  private double unitUs() {
    double sum = 0;
    for (Learned c : classes) {
      sum += typicalUs(c);
    }
    return sum / classes.size();
  }

  /**
   * A server's entry: own ledger and reported load of others. An old report says little: with age
   * it gives way to the mean of all reports, so that the unheard seem neither idle nor busy. A cold
   * one began empty and each sends it little: unheard it is idle. Taken for as busy as all it was
   * left to the last while the warm ones of its cell were jammed. May hurt where others keep no
   * cold guard.
   */
  private double entry(Server s) {
    double mean = warmth(s) < 1 ? 0 : fleetLoad.at(now, 4.0 * reportAgeUs);
    double others = mean + (s.reported - mean) * faded(s.reportedAtUs, (double) reportAgeUs);
    return Math.max(0, s.ledgerUs) + others * unitUs();
  }

  private double faded(long sinceUs, double lifeUs) {
    return Math.exp((sinceUs - now) / lifeUs);
  }

  private final Fading fleetLoad = new Fading(); // mean load of others over all reports, in parts
  private final Slope waits =
      new Slope(); // of the wait over the work ahead: how fast it is worked off

  private double waitPerWork() {
    return Math.max(WAIT_LEAST, Math.min(1 / WAIT_LEAST, waits.about(1, Math.pow(unitUs(), 2))));
  }

  /** Debt outlives the time until a server's next turn: many aggregators send each one little. */
  private double debt(Server s) {
    double sent = sends.at(now, DEBT_MOST_AIMS * reportAgeUs);
    double turns = DEBT_MOST_AIMS * servers.size() / Math.max(1, sent);
    return s.debtUs * faded(s.debtAtUs, Math.max(2, Math.min(DEBT_MOST_AIMS, turns)) * reportAgeUs);
  }

  private final Fading sends = new Fading(); // parts sent of late

  // ---- placement ----------------------------------------------------------------------

  private double score(Server s, Part part) {
    double price = settings.prices().crossZone() * CROSSING * part.query.kind.latencyObjectiveUs();
    double load = entry(s) + debt(s) + workOf(part) + callCost(s);
    return load / warmth(s) + wayUs(s) / waitPerWork() + (s.zone == settings.zone() ? 0 : price);
  }

  private final Map<Integer, Window> excess = new HashMap<>();

  /**
   * How much longer than foreseen even the quicker parts take to a zone, beyond those of the own:
   * the way there is slow or loses parts, or its servers share a fault. A zone's parts pool, for
   * each server gets few; the news fades, so single parts find a recovery. May hurt when the far
   * zone alone is overloaded.
   */
  private double wayUs(Server s) {
    Window there = excess.get(s.zone);
    Window here = excess.get(settings.zone());
    if (there == null || here == null || s.zone == settings.zone()) {
      return 0;
    }
    return Math.max(0, there.quantile(WAY_QUANTILE) - Math.max(0, here.quantile(WAY_QUANTILE)))
        * faded(there.addedAtUs, 4.0 * reportAgeUs);
  }

  private void learnWay(Server s, double excessUs) {
    Window w = excess.computeIfAbsent(s.zone, z -> new Window(WINDOW / 4, 0));
    w.add(excessUs);
    w.addedAtUs = now;
  }

  /**
   * How long a part would wait there: what is ahead, as this fleet works it off. Debt is no time.
   */
  private double waitUs(Server s) {
    return waitPerWork() * entry(s) / Math.sqrt(warmth(s));
  }

  private double predicted(Server s, Part part) {
    return wayUs(s) + waitUs(s) + (workOf(part) + callCost(s)) / Math.sqrt(warmth(s));
  }

  /** Parts of one turn to one server share a call; only the part that opens it pays for it. */
  private double callCost(Server s) {
    boolean open = s.callAtUs == now && s.callParts % settings.layout().partsPerCall() != 0;
    return open ? 0 : settings.layout().callOverheadUs();
  }

  /**
   * The replica of the part's shard with the least predicted work, or null where none may be sent
   * to.
   */
  private Server place(Part part) {
    Server best = null;
    double least = 0;
    for (int pass = 0; pass < 3 && best == null; pass++) {
      for (Server s : servers.holders(part.shard, settings.layout())) {
        boolean again = part.tried.contains(s) && pass == 0;
        if (again || !usable(s, pass == 2) || part.isOutAt(s) || !coldAllows(s, part)) {
          continue;
        }
        if (s.trialUs > 0 && now >= s.trialUs) {
          return s; // cold and unheard it would lose to the others for as long as they are not busy
        }
        double score = score(s, part) * (1 + 0.001 * random.nextDouble());
        if (best == null || score < least) {
          best = s;
          least = score;
        }
      }
    }
    return best;
  }

  /** A draining server gets nothing more, unless its shard has no other; never after the grace. */
  private boolean usable(Server s, boolean lastResort) {
    return !barred.contains(s.id)
        && (s.state == ServerState.READY
            || (lastResort
                && s.state == ServerState.DRAINING
                && now < s.toldUs + settings.rules().drainGraceUs() - marginUs));
  }

  // ---- cold guard ---------------------------------------------------------------------

  /** The share of its capacity that a server is sure to have by now. */
  private double warmth(Server s) {
    long warmAfter = settings.rules().slowStartDurationUs();
    long age = now - s.startedUs;
    if (s.startedUs <= 0 || age >= warmAfter || warmAfter <= 0) {
      return 1;
    }
    double from = settings.rules().initialCapacityShare();
    return Math.max(0.01, from + (1 - from) * Math.max(0, age) / warmAfter);
  }

  /**
   * Work a second that this aggregator may send a cold server, as a share of time: of what a server
   * can do when warm. That is one core's work at least, shared by all; or what warm ones are seen
   * to do for this aggregator, for all aggregators see no more together than they can.
   */
  private double coldRate(Server s) {
    double warm = served.at(now, SERVED_AIMS * reportAgeUs) / (SERVED_AIMS * reportAgeUs);
    return COLD_SHARE
        * settings.rules().overloadFactor()
        * warmth(s)
        * Math.max(1.0 / settings.brokers(), warm);
  }

  private final Fading served = new Fading(); // work that a warm server has answered of late
  private long warmReady; // servers that are warm and may be sent to, when that was last seen

  private void learnServed(Attempt a) {
    if (warmth(a.server) >= 1) {
      served.add(coldWork(a.part) / Math.max(1, warmReady), now, SERVED_AIMS * reportAgeUs);
    }
  }

  /**
   * Protects a server that has just started from being pushed over: a bucket of work that fills at
   * this aggregator's part of what the rule allows, each with a phase of its own: many aggregators
   * told at one moment, or restarted, send one after the other, not all at once or none for long.
   * Paid at the send, whatever becomes of it. May hurt when all replicas of a shard are cold: parts
   * wait.
   */
  private boolean coldAllows(Server s, Part part) {
    if (warmth(s) >= 1 || settings.rules().overloadFactor() <= 0) {
      return true;
    }
    double rate = coldRate(s);
    double burst = rate * settings.rules().fallUs() / 2; // and as much flows in
    return s.cold.affords(coldPrice(part), rate, burst, now);
  }

  private double coldWork(Part part) {
    return workOf(part) + settings.layout().callOverheadUs();
  }

  /**
   * What its bucket pays. Of a class that was hardly seen yet the work is a guess and may be
   * several times as much; after a restart all aggregators guess so at once. Until it is learned a
   * part pays by the quickest there was, if that is more.
   */
  private double coldPrice(Part part) {
    Learned c = part.query.learned;
    boolean known = part.hintUs > 0 || c.workUs > 0;
    return known ? coldWork(part) : Math.max(coldWork(part), 1.5 * c.took.least);
  }

  // ---- attempts -----------------------------------------------------------------------

  private final ArrayDeque<Long> takenAt = new ArrayDeque<>();
  private final ArrayDeque<Long> repeatedAt = new ArrayDeque<>();
  private double probeCredit;

  private void send(Part part) {
    Server s = place(part);
    if (s == null) {
      return;
    }
    double own = workOf(part) + callCost(s);
    if (warmth(s) < 1) {
      s.cold.spend(coldPrice(part));
    }
    Attempt a = new Attempt(part, part.attempts, s, now, own, entry(s), predicted(s, part));
    a.idle = s.out.isEmpty() && s.usedAtUs > 0 && now - s.usedAtUs > reportAgeUs;
    if (a.idle && lostIdle > LOST_LEAST && lostIdle > 2 * lostFresh) {
      lostIdle -= LOST_STEP / 10 * lostIdle; // tried again in time
      a.idle = false;
      actions.closeIdleConnections(s.id);
    }
    if (part.attempts > 0) {
      repeatedAt.addLast(now);
    }
    sends.add(1, now, DEBT_MOST_AIMS * reportAgeUs);
    a.begin();
    double wanted =
        Math.min(1, PROBE_PRICE / settings.prices().probe())
            * (PROBES_PER_PART + missed * settings.layout().inARow());
    probeCredit = Math.min(probeCredit + wanted, servers.size());
    actions.send(part.id, s.id, attemptDueUs(part.query));
  }

  /**
   * Where attempts can be cancelled the sweep ends them; elsewhere the time-out must. It also keeps
   * work from being begun that nobody waits for, which a cancel need not: a part whose query is
   * answered at its aim with what is in lasts no longer. May hurt where the aim passes with less
   * than the floor.
   */
  private long attemptDueUs(Query q) {
    long end = Math.max(now + 1, giveUpUs(q));
    if (settings.limits().mayCancel() || q.kind.repeat() == Idempotency.SINGLE_SHOT) {
      return Math.max(now + 1, q.kind.floor() < q.kind.need() ? planUs(q) : q.expiresUs);
    }
    double late = 2 * q.learned.took.quantile(0.95);
    return settings.limits().parallelAttempts() ? end : Math.min(end, now + (long) late);
  }

  /**
   * Whether the rules let this part have a further attempt now; {@code copy}: while another is out.
   */
  private boolean mayRepeat(Part part, boolean copy) {
    QueryClass kind = part.query.kind;
    boolean allowed =
        switch (kind.repeat()) {
          case FREE -> true;
          case GUARDED ->
              part.mayHaveRunUs < 0 || now <= part.mayHaveRunUs + kind.dedupWindowUs() - marginUs;
          case SINGLE_SHOT -> part.mayHaveRunUs < 0;
        };
    return allowed
        && part.attempts < mostAttempts(part)
        && (!copy || settings.limits().parallelAttempts())
        && withinBudget(copy ? COPY_SHARE : 1);
  }

  private int mostAttempts(Part part) {
    return Math.min(settings.limits().maxAttempts(), part.query.mostAttempts);
  }

  /** Only a stated budget needs the times, and none older than its span. */
  private void countTaken() {
    if (settings.rules().retryRatio() >= 0) {
      State.dropBefore(takenAt, now - settings.rules().retryRatioWindowUs() + settings.tickUs());
      takenAt.addLast(now);
    }
  }

  /**
   * The stated budget, or a part of it. May hurt where many servers fail at once: parts then wait.
   */
  private boolean withinBudget(double share) {
    Rules rules = settings.rules();
    State.dropBefore(repeatedAt, now - rules.retryRatioWindowUs() - settings.tickUs());
    State.dropBefore(takenAt, now - rules.retryRatioWindowUs() + settings.tickUs());
    double most = rules.retryBudgetFloor() + rules.retryRatio() * takenAt.size();
    return rules.retryRatio() < 0 || repeatedAt.size() + 1 <= share * most;
  }

  /** Sends the part if it has nothing out and may be sent; else it waits for the next sweep. */
  private void want(Part part) {
    if (part.settled || part.answered || !part.out.isEmpty() || now >= part.query.expiresUs) {
      return;
    }
    part.wanted = true;
    if (part.attempts == 0 || mayRepeat(part, false)) {
      send(part);
    }
  }

  private void attemptEnded(AttemptCompleted e) {
    Part part = pending.part(e.part());
    Attempt a = part == null ? null : part.attempt(e.attempt());
    if (a == null) {
      return;
    }
    a.end(now);
    learn(a, e);
    learnLoss(
        a,
        e.outcome() == AttemptOutcome.TIMEOUT
            || e.outcome() == AttemptOutcome.RESET
            || (e.outcome() == AttemptOutcome.CANCELLED && silent(a)),
        e.outcome() == AttemptOutcome.OK);
    if (e.outcome() == AttemptOutcome.MOOT && a.number > 0) {
      repeatedAt.removeLastOccurrence(a.sentUs);
    }
    if (e.outcome().neverRan() && part.out.isEmpty() && part.mayHaveRunUs == a.sentUs) {
      part.mayHaveRunUs = -1;
    }
    if (settings.reportsInAnswers()) {
      takeReport(a.server, e.report());
    }
    Query q = part.query;
    if (e.outcome() == AttemptOutcome.RESET) {
      q.brokeAt.put(a.server, now);
      brokenAtUs = now;
    }
    if (!q.over && suspect(q)) {
      giveUp(q);
    }
    if (e.outcome() == AttemptOutcome.OK && !q.over && !part.settled) {
      part.answered = true;
      part.settled = true;
      q.answered += part.step == q.step ? part.weight : 0;
      q.proven = true;
      cancelOut(part);
      evaluate(q);
      if (!q.over && q.holdUntilUs > 0) {
        goOn(q);
      }
    } else if (e.settled()) {
      part.settled = true;
    } else if (!q.over && !part.answered) {
      want(part);
    }
    if (!q.over && e.outcome() != AttemptOutcome.OK && hopeless(q)) {
      giveUp(q);
    }
    pending.forget(part);
  }

  /** Teaches class work and debt from how an attempt ended. */
  private void learn(Attempt a, AttemptCompleted e) {
    Server s = a.server;
    switch (e.outcome()) {
      case OK -> {
        s.heardUs = now;
        a.part.query.learned.took.add((double) (now - a.sentUs));
        learnWork(a.part.query.learned);
        learnServed(a);
        calibrate(a);
        s.failuresInARow /= 2;
        double unforeseen =
            settings.limits().mayHealthCheck()
                ? 0 // then probes tell of the slow
                : now - a.sentUs - LATE_FACTOR * a.predictedUs;
        s.debtUs = Math.max(DEBT_KEPT * debt(s), Math.min(unforeseen, DEBT_CAP * unitUs()));
        s.debtAtUs = now;
      }
      case ERROR, TIMEOUT, FULL, RESET, CONNECT_FAILED -> owe(s);
      case CANCELLED -> {
        if (now - a.sentUs > a.predictedUs) {
          calibrate(a); // it would have taken longer still
        }
        if (silent(a)) {
          owe(s);
        }
      }
    }
  }

  private double lostIdle; // share of parts lost of late where the connection had stood idle
  private double lostFresh; // and elsewhere

  /**
   * Guards against connections dropped unseen: where those long unused lose more than others they
   * are shut before a send, and a new one opens. Holds whatever drops them. May hurt where
   * handshakes are dear.
   */
  private void learnLoss(Attempt a, boolean lost, boolean answered) {
    double step = lost || answered ? LOST_STEP : 0;
    lostIdle += a.idle ? step * ((lost ? 1 : 0) - lostIdle) : 0;
    lostFresh += a.idle ? 0 : step * ((lost ? 1 : 0) - lostFresh);
  }

  private void calibrate(Attempt a) {
    learnWay(a.server, now - a.sentUs - a.workUs - waitPerWork() * a.aheadUs);
    if (warmth(a.server) >= 1 && wayUs(a.server) <= 0) {
      double time = Math.min(PACE_MOST * a.predictedUs, (double) (now - a.sentUs));
      waits.add(a.aheadUs, time - a.workUs, FLEET_STEP);
    }
  }

  /**
   * A failure leaves debt in the ledger where the design would clear the entry: against fast
   * errors, hangs, dead servers and full ones alike. It decays, so single parts find a recovery.
   * May hurt when failures come from the query, not the server: all replicas then owe alike and the
   * order stays.
   */
  private void owe(Server s) {
    double units = Math.min(DEBT_CAP, DEBT_UNITS * (1 << Math.min(s.failuresInARow, 8)));
    s.debtUs = Math.min(DEBT_CAP * unitUs(), Math.max(debt(s), units * unitUs()));
    s.debtAtUs = now;
    s.failuresInARow++;
  }

  /**
   * Overdue at a server that has answered nothing since: hung, dead or far too slow, not just busy.
   * Without this, moving late parts off busy servers throws their work away, which makes all
   * servers later still.
   */
  private boolean silent(Attempt a) {
    return now - Math.max(a.sentUs, a.server.heardUs) > SILENT_FACTOR * a.predictedUs;
  }

  private void cancelOut(Part part) {
    part.out.forEach(this::cancel);
  }

  private void cancel(Attempt a) {
    if (settings.limits().mayCancel() && !a.cancelled) {
      a.cancelled = true;
      actions.cancel(a.part.id, a.number);
    }
  }

  /** Looks after one part that is out: a spare, a copy or a move when it is late. */
  private void tend(Part part) {
    if (part.wanted) {
      want(part);
    }
    if (part.settled || part.out.size() != 1 || now < part.tendUs) {
      return;
    }
    Attempt a = part.out.get(0);
    if (a.cancelled || now - a.sentUs < lateAfterUs(part)) {
      return;
    }
    part.tendUs = now + TEND_SWEEPS * sweepUs; // a jam has many late parts, and time is metered
    if (sendSpare(part.query)) {
      return;
    }
    Server other = place(part);
    double left = planUs(part.query) - now;
    if (other == null
        || score(other, part) > score(a.server, part)
        || predicted(other, part) > left
        || entry(other) > 2 * unitUs()) {
      return; // it can not be saved there, or what others wait for would pay for it
    }
    if (mayRepeat(part, true)) {
      send(part);
    } else if (silent(a)
        && now - a.sentUs > left
        && mayRepeat(part, false)
        && withinBudget(COPY_SHARE)
        && !settings.limits().parallelAttempts()
        && settings.limits().mayCancel()) {
      cancel(a);
    }
  }

  /** When a part counts as late: beyond most of its class, or sooner when the aim comes near. */
  private double lateAfterUs(Part part) {
    Window w = part.query.learned.took;
    return w.quantile(planUs(part.query) - now < 1.5 * w.quantile(0.5) ? 0.5 : 0.9);
  }

  // ---- answers ------------------------------------------------------------------------

  private void queryArrived(QueryArrived e) {
    countTaken();
    Learned c = classes.get(Math.max(0, Math.min(e.queryClass(), classes.size() - 1)));
    QueryClass kind = c.kind;
    Query q = new Query(e, c, settings.limits().maxAttempts(), now);
    double own = e.hintUs() > 0 ? e.hintUs() : typicalUs(c) * e.parts();
    long aim =
        Math.min(
            kind.deadlineUs(),
            kind.latencyObjectiveUs() + (long) (kind.latencyObjectiveStretch() * own));
    q.latencyObjectiveUs = now + aim - spentUs(c, e) - (long) lagUs;
    pending.add(q);
    alarm(q, giveUpUs(q));
    alarm(q, aimedUs(q));
  }

  /**
   * What a client has waited over earlier tries, where repeats are marked: one that may last less
   * than others of its class is cut by the client's own time. What was given up at its aim would
   * come again, too late to be of worth, in the place of what is not. May hurt clients of little
   * patience.
   */
  private long spentUs(Learned c, QueryArrived e) {
    long tryUs = e.deadlineUs() - now;
    c.longestTryUs = Math.max(c.longestTryUs, tryUs);
    boolean cut = e.repeat() && tryUs < TRY_CUT * c.longestTryUs;
    return cut ? Math.max(0, c.kind.deadlineUs() - tryUs) : 0;
  }

  /**
   * The moment after which nothing is to be gained: the aim where late is worthless, else the
   * expiry.
   */
  private long giveUpUs(Query q) {
    long end = q.kind.lateWeight() > 0 ? q.expiresUs : Math.min(q.latencyObjectiveUs, q.expiresUs);
    return end - marginUs;
  }

  /** The moment planned for: the aim, while it is ahead. */
  private long planUs(Query q) {
    return now < aimedUs(q) ? aimedUs(q) : giveUpUs(q);
  }

  /** In time for the aim; a first answer leaves time for the second step. */
  private long aimedUs(Query q) {
    double second =
        q.step > 1 || q.kind.followUp() == 0
            ? 0
            : Math.min(
                SECOND_MOST * q.kind.latencyObjectiveUs(),
                q.learned.took.quantile(SECOND_QUANTILE));
    return Math.min(q.latencyObjectiveUs, q.expiresUs) - marginUs - (long) second;
  }

  /**
   * True once the plan's moment is past and what is in may be given for more than lateness leaves.
   * Guards against the few slow, silent or dead servers that a wide query always meets, whatever
   * ails them.
   */
  private boolean partIsBest(Query q) {
    return now >= aimedUs(q)
        && enough(q)
        && q.kind.floor() < q.kind.need()
        && q.kind.partialWeight() * q.answered / q.kind.need() >= q.kind.lateWeight();
  }

  private boolean enough(Query q) {
    return q.answered > 0
        && q.answered >= q.kind.floor() - WEIGHT_SLACK
        && (q.step == 1 || q.kind.floor() < q.kind.need());
  }

  private void partArrived(PartArrived e) {
    countTaken();
    Query q = pending.numbered(e.number());
    if (q == null || q.over) {
      return;
    }
    Part part = pending.add(new Part(e.id(), q, e, q.step));
    if (q.step > 1) {
      want(part);
    } else if (q.parts.size() == q.expected) {
      if (now >= giveUpUs(q)) {
        giveUp(q);
      } else if (!scout(q)) {
        admit(q);
      }
    }
  }

  /** Sends a part of the first step that was left out, if any: a second chance without a repeat. */
  private boolean sendSpare(Query q) {
    Optional<Part> spare =
        q.holdUntilUs > 0
            ? Optional.empty()
            : q.parts.stream()
                .filter(p -> p.attempts == 0 && !p.wanted && !p.settled && p.step == q.step)
                .findFirst();
    spare.ifPresent(this::want);
    return spare.isPresent();
  }

  /**
   * True once the parts that may still come cannot make an answer: its other work is better not
   * done.
   */
  private boolean hopeless(Query q) {
    if (q.parts.get(q.parts.size() - 1).step < q.step) {
      return false; // a second step whose parts are still to come
    }
    double possible = 0;
    double left = giveUpUs(q) - now;
    for (Part part : q.parts) {
      boolean sendable =
          part.attempts < mostAttempts(part)
              && (q.kind.repeat() != Idempotency.SINGLE_SHOT || part.mayHaveRunUs < 0)
              && left > HOPELESS_SHARE * workOf(part);
      boolean open = !part.settled && (sendable || !part.out.isEmpty());
      possible += part.step == q.step && (part.answered || open) ? part.weight : 0;
    }
    return possible < q.kind.floor() - WEIGHT_SLACK;
  }

  private boolean whole(Query q) {
    if (q.step == 1) {
      return q.answered >= q.kind.need() - WEIGHT_SLACK;
    }
    return q.firstWhole
        && q.parts.stream().allMatch(p -> p.step == 1 || p.answered)
        && q.parts.stream().filter(p -> p.step > 1).count() >= q.expected;
  }

  private void evaluate(Query q) {
    if (whole(q)) {
      answer(q, true);
    } else if (partIsBest(q)) {
      answer(q, false);
    } else if (q.parts.stream().allMatch(p -> p.settled)
        && (q.step == 1 || q.parts.get(q.parts.size() - 1).step > 1)) {
      giveUp(q); // nothing more is to come
    }
  }

  private void answer(Query q, boolean whole) {
    missed += FLEET_STEP * ((whole ? 0 : 1) - missed);
    actions.answer(q.id, whole);
    if (q.step == 1 && q.kind.followUp() > 0) {
      q.firstWhole = whole;
      q.expected = Math.min(q.kind.followUp(), q.parts.size());
      q.parts.forEach(part -> part.settled = true);
      q.parts.forEach(this::cancelOut);
      q.step = 2;
      q.answered = 0;
    } else {
      end(q);
    }
  }

  /**
   * The final answer when nothing more is to be gained: what is in, if that is allowed, else a
   * refusal.
   */
  private void giveUp(Query q) {
    if (enough(q)) {
      answer(q, whole(q));
      return;
    }
    missed += FLEET_STEP * (1 - missed);
    if (q.kind.repeat() == Idempotency.FREE || q.parts.stream().allMatch(p -> p.mayHaveRunUs < 0)) {
      actions.reject(q.id, settings.limits().retryAfter() ? retryAfterUs(q) : 0);
    } else {
      actions.fail(q.id);
    }
    end(q);
  }

  /**
   * A client is told to come back while its aim can still be met, if it can; else as late as it
   * heeds.
   */
  private long retryAfterUs(Query q) {
    long most = settings.limits().maxRetryAfterUs();
    long room = (long) (q.latencyObjectiveUs - now - 2 * typicalUs(q.learned));
    return room > 0 ? Math.min(most, Math.max(1, room / 4)) : most;
  }

  private void end(Query q) {
    q.parts.forEach(this::cancelOut);
    pending.remove(q);
  }

  private void clientLeft(ClientDisconnected e) {
    Query q = pending.get(e.query());
    if (q != null) {
      end(q);
    }
  }

  // ---- admission

  private double meanDensity;
  private Shares tenantLoad;

  /**
   * Takes a query only if the ledger foresees its parts in time at the least loaded replicas;
   * leaves out parts that it does not where the class allows. Guards against the jam in which
   * queries spend work, miss their aim and are asked again, whatever began it. The less worth per
   * work, the sooner it is refused. May hurt when reports say too much.
   */
  private void admit(Query q) {
    double patience = patience(q);
    if (lagUs > 0 && now + lagUs + typicalUs(q.learned) >= aimedUs(q)) {
      giveUp(q);
      return;
    }
    double left = planUs(q) - now - lagUs;
    Map<Part, Double> soon = new HashMap<>(); // the wait as a share of the time left after its work
    Map<Server, Double> before = new LinkedHashMap<>();
    for (Part part : q.parts) {
      Server s = part.attempts > 0 ? null : place(part);
      if (s == null) {
        soon.put(part, 0.0); // it may wait for a server, or went ahead
        continue;
      }
      soon.put(part, (waitUs(s) + wayUs(s)) / Math.max(1, left - workOf(part)));
      before.putIfAbsent(s, s.ledgerUs);
      s.ledgerUs += workOf(part);
    }
    before.forEach((s, ledger) -> s.ledgerUs = ledger);
    List<Part> order = new ArrayList<>(q.parts);
    order.sort(Comparator.comparingDouble(part -> soon.get(part) / Math.max(1e-9, part.weight)));
    double inTime =
        order.stream().filter(p -> soon.get(p) <= patience).mapToDouble(p -> p.weight).sum();
    if (inTime < q.kind.floor() - WEIGHT_SLACK) {
      giveUp(q);
      return;
    }
    if (leads(q)) {
      lead(q, order.stream().min(Comparator.comparingDouble(soon::get)).orElseThrow());
      return;
    }
    double asked = 0;
    for (Part part : order) { // what is not asked waits as a spare, the busiest last
      boolean mayLack = q.kind.floor() < q.kind.need();
      part.settled = mayLack && soon.get(part) > patience;
      if (!part.settled && (q.kind.need() >= 1 || asked < q.kind.need() - WEIGHT_SLACK)) {
        want(part);
        asked += part.weight;
      }
    }
  }

  /** The share of its time that the query may wait: more for more worth per work. */
  private double patience(Query q) {
    if (q.patience == 0) {
      double worth =
          q.kind.priorityWeight()
              / Math.max(1, q.expected * typicalUs(q.learned))
              * (q.repeat ? REPEAT_WORTH : 1)
              / Math.max(1, overShare(q.tenant));
      meanDensity = meanDensity == 0 ? worth : meanDensity + 0.05 * (worth - meanDensity);
      q.patience =
          PATIENCE
              * (1 + 1.0 / settings.brokers())
              * Math.max(1 / PATIENCE_MOST, Math.min(PATIENCE_MOST, worth / meanDensity));
    }
    return q.patience;
  }

  /**
   * One part goes ahead where that takes little of the query's time: a query that brings down what
   * runs it (poison, a bug, a corrupt record) then costs one server, not one for each part. The
   * other parts follow once any is answered or the short while is over. May hurt where the time is
   * scarce.
   */
  private boolean leads(Query q) {
    double least =
        q.repeat || now - brokenAtUs < ABOUT_AIMS * reportAgeUs
            ? 2
            : Math.max(LEAD_LEAST, LEAD_WIDE * servers.size());
    double share = LEAD_WORK * typicalUs(q.learned) / (planUs(q) - now);
    boolean dear = settings.layout().callOverheadUs() > LEAD_MOST * typicalUs(q.learned);
    return !q.led
        && q.expected >= least
        && share < LEAD_MOST
        && !dear; // it takes a call of its own
  }

  /**
   * At the least busy server it begins at once: what it brings down is down within a part of its
   * work.
   */
  private void lead(Query q, Part part) {
    q.led = true;
    want(part);
    q.holdUntilUs = now + (long) Math.min(LEAD_MOST * (planUs(q) - now), LEAD_WORK * workOf(part));
    alarm(q, q.holdUntilUs);
  }

  /**
   * What was held for probes or a part ahead follows; if that part was lost, one more goes ahead.
   */
  private void goOn(Query q) {
    q.scouts.clear();
    q.holdUntilUs = 0;
    List<Part> fresh = q.parts.stream().filter(p -> p.attempts == 0 && !p.settled).toList();
    if (!q.proven && !q.brokeAt.isEmpty() && fresh.size() == q.expected - 1) {
      lead(q, fresh.get(0));
    } else {
      admit(q);
    }
  }

  private long brokenAtUs = Long.MIN_VALUE / 2; // when a server last broke off what was out to it

  /**
   * Failed at servers that were sound, with nothing answered: the query is at fault, not they. A
   * server that has answered since was not brought down: only a connection was.
   */
  private boolean suspect(Query q) {
    long down =
        q.brokeAt.entrySet().stream().filter(e -> e.getKey().heardUs < e.getValue()).count();
    return !q.proven
        && down >= (q.repeat ? 1 : SUSPECT_RESETS)
        && 2 * down >= q.parts.stream().mapToInt(part -> part.attempts).sum();
  }

  /** How far a tenant's part of the queries seen of late is beyond its share; 1: just its share. */
  private double overShare(int tenant) {
    List<Tenant> all = settings.tenants();
    double share = tenant >= 0 && tenant < all.size() ? all.get(tenant).share() : 0;
    return share <= 0 ? 1 : tenantLoad.add(tenant, now, 3.0 * reportAgeUs) / share;
  }

  // ---- the sweep ----------------------------------------------------------------------

  private static final long SWEEP = 1;
  private static final long ASK = 2;
  private static final long QUERY = 4; // and above: of one query

  private void start() {
    sweepAgain();
    if (settings.mustPollServerList()) {
      actions.subscribeToServerList(); // without this nothing of drains or restarts is ever told
    }
  }

  private void alarmRang(TimerFired e) {
    if (e.token() == ASK) {
      actions.subscribeToServerList();
      return;
    }
    if (e.token() == SWEEP) {
      lagUs = Math.max((double) (now - sweepDueUs - marginUs), LAG_KEPT * lagUs);
      sweepAgain();
      warmReady = servers.values().stream().filter(s -> usable(s, false) && warmth(s) >= 1).count();
    }
    if (e.token() >= QUERY) {
      Query q = pending.get((int) (e.token() / QUERY - 1));
      if (q != null) {
        lookAt(q);
      }
      return;
    }
    pending.all().forEach(this::lookAt);
  }

  private void sweepAgain() {
    sweepDueUs = now + sweepUs;
    actions.scheduleTimer(SWEEP, sweepDueUs);
  }

  private long sweepDueUs;

  /**
   * How late this aggregator itself is of late. What it is handed has waited as long unread, and
   * answers will: what can not be in time for that is refused at once, or all that follows is late
   * too.
   */
  private double lagUs;

  /** An alarm of a query looks at no other: under load there are many of both. */
  private void alarm(Query q, long dueUs) {
    actions.scheduleTimer(QUERY * (1 + (long) q.id), dueUs);
  }

  private void lookAt(Query q) {
    if (now >= giveUpUs(q) || partIsBest(q)) {
      giveUp(q);
      return;
    }
    if (q.holdUntilUs > 0 && now >= q.holdUntilUs) {
      goOn(q);
    }
    if (q.over || (q.step == 1 && q.parts.size() < q.expected) || !q.scouts.isEmpty()) {
      return;
    }
    for (Part part : q.parts) {
      tend(part);
    }
    if (hopeless(q) || stuck(q)) {
      giveUp(q);
    }
  }

  /**
   * Nothing of it could be sent while its time went by: its client is better told while it can
   * still ask again. May hurt where a server comes up just then.
   */
  private boolean stuck(Query q) {
    return now >= q.takenUs + UNSENT_SHARE * (q.expiresUs - q.takenUs)
        && q.parts.stream().allMatch(p -> p.out.isEmpty() && p.mayHaveRunUs < 0 && !p.answered);
  }

  // ---- health: reports and probes -----------------------------------------------------

  /** Keeps what others have at the server: the report less what is out from here. */
  private void takeReport(Server s, float[] report) {
    double load = 0;
    boolean seen = false;
    boolean held = settings.reportFields().contains(LoadReportField.OUTSTANDING);
    for (int i = 0; i < Math.min(report.length, settings.reportFields().size()); i++) {
      LoadReportField field = settings.reportFields().get(i);
      double value = Double.isFinite(report[i]) ? Math.max(0, Math.min(REPORT_CAP, report[i])) : 0;
      double mine = field == LoadReportField.OUTSTANDING ? s.out.size() : s.out.size() / 2.0;
      if (field == LoadReportField.OUTSTANDING || (field == LoadReportField.BACKLOG && !held)) {
        load += Math.max(0, value - mine);
        seen = true;
      } else if (field == LoadReportField.UTILIZATION && !held) {
        load += Math.min(1, value);
        seen = true;
      }
    }
    if (seen) {
      fleetLoad.blend(load, FLEET_STEP, now, 4.0 * reportAgeUs);
      s.reported +=
          (1 - (1 - REPORT_STEP) * faded(s.reportedAtUs, (double) reportAgeUs))
              * (load - s.reported);
      s.reportedAtUs = now;
    }
  }

  private double missed; // share of queries let in of late that were not answered whole

  /**
   * Probes the replicas that a query may go to, the longest unheard first, and holds it until they
   * answer or a short while is over. Guards against old knowledge where an aggregator sends a
   * server little: slow, hung, dead or far servers show by report or silence. May hurt when probes
   * are dearer than told.
   */
  private boolean scout(Query q) {
    if (!settings.limits().mayHealthCheck() || now - fleetLoad.atUs < reportAgeUs / 2) {
      return false;
    }
    Set<Server> unheard = new LinkedHashSet<>();
    q.parts.forEach(part -> unheard.addAll(servers.holders(part.shard, settings.layout())));
    unheard.removeIf(
        s ->
            s.state != ServerState.READY
                || s.probing
                || barred.contains(s.id)
                || now - s.reportedAtUs < reportAgeUs / 8);
    unheard.stream()
        .sorted(Comparator.comparingLong(s -> s.reportedAtUs))
        .limit((long) probeCredit)
        .forEach(q.scouts::add);
    if (q.scouts.isEmpty()) {
      return false;
    }
    probeCredit -= q.scouts.size();
    for (Server s : q.scouts) {
      s.probing = true;
      actions.sendHealthCheck(s.id);
    }
    q.holdUntilUs = now + reportAgeUs / SCOUTS_PER_AIM;
    alarm(q, q.holdUntilUs);
    return true;
  }

  private void probeEnded(HealthCheckCompleted e) {
    Server s = servers.get(e.server());
    if (s == null) {
      return;
    }
    s.probing = false;
    if (e.outcome() == AttemptOutcome.CONNECT_FAILED || e.outcome() == AttemptOutcome.RESET) {
      owe(s);
    } else {
      takeReport(s, e.report());
    }
    for (Query q : pending.all()) {
      if (q.scouts.remove(s) && q.scouts.isEmpty()) {
        goOn(q);
      }
    }
  }

  // ---- the server list ----------------------------------------------------------------

  private long askFailures;

  private void serverList(ServerListUpdated e) {
    if (e.kind() == ServerListKind.FAILED) {
      askAgain();
      return;
    }
    askFailures = 0;
    Set<Integer> listed = new HashSet<>();
    for (ServerEntry entry : e.servers()) {
      listed.add(entry.id());
      take(entry);
    }
    (e.kind() == ServerListKind.DELTA ? List.<Server>of() : servers.values())
        .stream().filter(s -> !listed.contains(s.id)).forEach(s -> tell(s, ServerState.GONE));
    servers.forget();
    pending.all().forEach(q -> q.parts.stream().filter(part -> part.wanted).forEach(this::want));
  }

  private void askAgain() {
    if (settings.mustPollServerList()) {
      long wait = Math.max(settings.tickUs(), settings.rules().pollWithinUs() / 40);
      actions.scheduleTimer(ASK, now + Math.min(wait << Math.min(askFailures++, 4), 60_000_000L));
    }
  }

  private void take(ServerEntry entry) {
    Server s = servers.get(entry.id());
    if (s == null && entry.state() == ServerState.GONE) {
      return;
    }
    if (s == null) {
      double mean = meanEntry(entry.cell());
      s = servers.add(entry.id(), entry.cell());
      s.debtUs = mean;
      s.debtAtUs = now;
    }
    if (entry.startedUs() > s.startedUs) {
      s.cold.begin(1 - random.nextDouble(), now);
    }
    s.startedUs = Math.max(entry.startedUs(), s.backUs);
    s.zone = entry.zone();
    servers.move(s, entry.cell());
    tell(s, entry.state());
  }

  private final Set<Integer> barred = new HashSet<>(); // out by hand, whatever the list says

  /**
   * Called back, a server is taken for one that has just started, and is tried soon: nothing that
   * was learnt of it still holds, and who called it back waits to see it serve.
   */
  private void serverBarred(ServerDisabled e) {
    boolean changed = e.out() ? barred.add(e.server()) : barred.remove(e.server());
    Server s = servers.get(e.server());
    if (!changed || e.out() || s == null) {
      return;
    }
    s.cameBack(now);
    s.cold.begin(1 - random.nextDouble(), now);
    s.trialUs = now + (long) (random.nextDouble() * TRIAL_WITHIN_US);
  }

  /** A new server starts at the mean of those it shares shards with. */
  private double meanEntry(int cell) {
    return servers.near(cell, settings.layout().inARow(), settings.layout().cells()).stream()
        .filter(s -> s.state == ServerState.READY)
        .mapToDouble(s -> debt(s) + Math.max(0, s.ledgerUs))
        .average()
        .orElse(0);
  }

  private void tell(Server s, ServerState state) {
    boolean turns =
        s.state != state && (s.state == ServerState.READY || state == ServerState.READY);
    s.toldUs = turns ? now : s.toldUs; // one that was not ready before has no grace
    s.state = state;
    if (state == ServerState.GONE) {
      s.toldUs = Long.MIN_VALUE / 2;
      servers.gone(s);
    }
  }
}

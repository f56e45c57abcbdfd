package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Prices;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Rules;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Many brokers that know nothing of each other, each a policy with a seed and a stream of its own,
 * before stores of one core and one queue. Some stores start anew; what all brokers together send
 * those is counted in every window.
 */
final class ColdFleet {
  /** What happens when stores start; in each the cold ones are told of within half a second. */
  enum Trouble {
    /** One store starts, in a fleet that has use for it. */
    ONE,
    /** Half of all stores start at once, a cell of them whole. */
    HALF,
    /**
     * Nobody has use for the one that starts, until those that held its shards beside it are gone
     * for all at once.
     */
    LEFT_ALONE,
    /** Nobody has use for the one that starts, until four times as much comes to all at once. */
    SURGE,
    /**
     * One starts and is no longer ready at once; when the others of its cell are gone and parts
     * wait, it is again.
     */
    FLAP,
    /**
     * Half of the stores, and seven in ten brokers are killed and come back while those are cold.
     */
    KILLED,
    /**
     * Half of the stores, and every broker is restarted again and again, a tenth of them each half
     * second.
     */
    ROLLED
  }

  /**
   * Work of a part by class and how often a class comes, its spread, the cost of a call, load, and
   * the rule's figures.
   */
  record Site(
      double[] workUs,
      double[] share,
      double spread,
      long callUs,
      double load,
      double factor,
      double from,
      long fallUs) {}

  private static final int CELLS = 6;
  private static final int COPIES = 3;
  private static final int SHARDS = 24;
  private static final long S = 1_000_000;
  private static final long STARTS = 8 * S; // until then times are learned
  private static final long WARM_AFTER = 10 * S;
  private final Trouble trouble;
  private final int many;
  private final Site site;
  private final SplittableRandom random;
  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private final List<Store> stores = new ArrayList<>();
  private final List<Broker> brokers = new ArrayList<>();
  private long now;
  private long steps;
  private double meanUs;

  /**
   * The worst window of all cold stores, as a share of what the rule bears, and the calls it bore.
   */
  double worst;

  /**
   * The worst of those of which over two thirds came from brokers that knew of the start: only they
   * break the rule.
   */
  double worstTold;

  /**
   * Of what cold stores could do while they were cold, what they were sent; and at which calls a
   * window.
   */
  double used;

  /**
   * Queries answered of all, while stores were cold; and the least that a warm store was sent, of
   * the mean.
   */
  double served;

  double leastWarm;

  ColdFleet(Trouble trouble, int many, long seed, Site site) {
    this.trouble = trouble;
    this.many = many;
    this.site = site;
    random = new SplittableRandom(seed);
  }

  private record Due(long atUs, long step, Runnable what) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(step, other.step);
    }
  }

  private void at(long us, Runnable what) {
    queue.add(new Due(Math.max(us, now), steps++, what));
  }

  private record Call(Broker broker, int life, int part, int attempt, double workUs) {}

  private record Arrival(long atUs, double workUs, boolean told) {
    double toldUs() {
      return told ? workUs : 0;
    }
  }

  private final class Store {
    final int id;
    final int cell;
    long startedUs;
    ServerState state = ServerState.READY;
    final ArrayDeque<Call> waiting = new ArrayDeque<>();
    boolean busy;
    final List<Arrival> sent = new ArrayList<>(); // since the starts

    Store(int id, int cell) {
      this.id = id;
      this.cell = cell;
    }

    double capacity(long atUs) {
      return startedUs == 0
          ? 1
          : Math.min(1, site.from + (1 - site.from) * Math.max(0, atUs - startedUs) / WARM_AFTER);
    }

    void take(Call call) {
      waiting.add(call);
      next();
    }

    void next() {
      if (busy || waiting.isEmpty()) {
        return;
      }
      Call call = waiting.remove();
      if (call.broker.gave(call)) {
        next();
        return;
      }
      busy = true;
      at(
          now + (long) ((call.workUs + site.callUs) / capacity(now)),
          () -> {
            busy = false;
            call.broker.ended(call, AttemptOutcome.OK, waiting.size());
            next();
          });
    }

    ServerEntry entry() {
      return new ServerEntry(id, 0, cell, state, 1, startedUs);
    }
  }

  private final class Broker implements BalancerActions {
    final double apartUs;
    LoadBalancer policy;
    int life;
    int next;
    int taken;
    int done;
    private final Set<Store> told = new HashSet<>(); // cold ones whose start it knows
    private final Map<Integer, Integer> attempts = new HashMap<>();
    private final Map<Integer, Integer> classes = new HashMap<>();
    private final Map<Integer, Call> out = new HashMap<>();

    Broker(double apartUs) {
      this.apartUs = apartUs;
    }

    void start() {
      life++;
      out.clear();
      policy = new LoadBalancer(settings(), random.nextLong(), this);
      stores.stream().filter(s -> s.startedUs > 0).forEach(told::add);
      policy.on(now, new BalancerEvent.Started());
      policy.on(
          now,
          new BalancerEvent.ServerListUpdated(
              ServerListKind.FULL, stores.stream().map(Store::entry).toList()));
    }

    void ask() {
      boolean surge = trouble == Trouble.SURGE && now >= STARTS + 3 * S && now < STARTS + 6 * S;
      at(now + (long) (-Math.log(1 - random.nextDouble()) * apartUs / (surge ? 4 : 1)), this::ask);
      int kind = 0;
      for (double u = random.nextDouble();
          (u -= site.share[kind]) > 0 && kind < site.share.length - 1; ) {
        kind++;
      }
      int parts = 4;
      int query = next++;
      taken += cold() ? 1 : 0;
      int shard = random.nextInt(SHARDS);
      policy.on(
          now,
          new BalancerEvent.QueryArrived(query, query, kind, -1, parts, now + 3 * S, 0, false));
      for (int i = 0; i < parts; i++) {
        classes.put(next, kind);
        policy.on(
            now,
            new BalancerEvent.PartArrived(next++, query, (shard + i * 5) % SHARDS, 1.0 / parts, 0));
      }
    }

    boolean gave(Call call) {
      return call.life != life || out.get(call.part) != call;
    }

    void ended(Call call, AttemptOutcome outcome, float... report) {
      if (!gave(call)) {
        out.remove(call.part);
        policy.on(
            now,
            new BalancerEvent.AttemptCompleted(
                call.part, call.attempt, outcome, 0, 0, outcome == AttemptOutcome.OK, report));
      }
    }

    @Override
    public void send(int part, int server, long dueUs) {
      Store store = stores.get(server - 1);
      double mean = site.workUs[classes.get(part)];
      double sigma = Math.sqrt(Math.log(1 + site.spread * site.spread));
      double drawn = mean * Math.exp(sigma * gauss() - sigma * sigma / 2);
      Call call = new Call(this, life, part, attempts.merge(part, 1, Integer::sum) - 1, drawn);
      out.put(part, call);
      if (now >= STARTS) {
        store.sent.add(new Arrival(now, mean, told.contains(store)));
      }
      at(now + 300, () -> store.take(call));
      at(dueUs, () -> ended(call, AttemptOutcome.TIMEOUT));
    }

    @Override
    public void answer(int query, boolean whole) {
      done += cold() ? 1 : 0;
    }

    @Override
    public void reject(int query, long retryAfterUs) {}

    @Override
    public void fail(int query) {}

    @Override
    public void cancel(int part, int attempt) {
      Call call = out.get(part);
      at(now + 1, () -> ended(call, AttemptOutcome.CANCELLED));
    }

    @Override
    public void closeIdleConnections(int server) {}

    @Override
    public void sendHealthCheck(int server) {
      int mine = life;
      at(
          now + 600,
          () -> {
            if (life == mine) {
              policy.on(
                  now,
                  new BalancerEvent.HealthCheckCompleted(
                      server,
                      AttemptOutcome.OK,
                      600,
                      new float[] {stores.get(server - 1).waiting.size()}));
            }
          });
    }

    @Override
    public void scheduleTimer(long token, long dueUs) {
      int mine = life;
      at(
          Math.max(now + 1, dueUs),
          () -> {
            if (life == mine) {
              policy.on(now, new BalancerEvent.TimerFired(token));
            }
          });
    }

    @Override
    public void subscribeToServerList() {}

    @Override
    public void log(String text) {}
  }

  private boolean cold() {
    return now >= STARTS && now < STARTS + WARM_AFTER;
  }

  private double gauss() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private Settings settings() {
    List<QueryClass> kinds = new ArrayList<>();
    for (int i = 0; i < site.workUs.length; i++) {
      kinds.add(
          new QueryClass("k" + i, S, 0, 3 * S, Idempotency.FREE, 0.1, 0, 1, false, 0, 0.7, 1, 0.9));
    }
    return new Settings(
        many,
        List.of("a"),
        0,
        5_000,
        kinds,
        List.of(),
        0.1,
        new ShardLayout(CELLS, 1, SHARDS, 1, site.callUs),
        new Limits(4, 1000, true, true, false, true, 500_000, 250_000, 32, 15 * S),
        new Rules(
            20_000,
            10 * S,
            -1,
            0,
            10 * S,
            site.from,
            WARM_AFTER,
            site.factor,
            site.fallUs,
            250_000),
        new Prices(0, 0.012, 0, 0),
        false,
        true,
        true,
        List.of(LoadReportField.OUTSTANDING),
        false);
  }

  /** Plays the day; the figures are in the fields then. */
  ColdFleet play() {
    for (int i = 0; i < site.workUs.length; i++) {
      meanUs += site.share[i] * site.workUs[i];
    }
    for (int i = 0; i < CELLS * COPIES; i++) {
      stores.add(new Store(i + 1, i % CELLS));
    }
    double partsAUs = site.load * CELLS * COPIES / (meanUs + site.callUs);
    double[] weights = new double[many];
    double sum = 0;
    for (int i = 0; i < many; i++) { // some see several times the mean
      weights[i] = Math.exp(0.6 * gauss());
      sum += weights[i];
    }
    for (int i = 0; i < many; i++) {
      Broker b = new Broker(4 * sum / weights[i] / partsAUs);
      brokers.add(b);
      at(
          random.nextLong(S),
          () -> {
            b.start();
            b.ask();
          });
    }
    at(STARTS, this::begin);
    while (now < STARTS + WARM_AFTER && !queue.isEmpty()) {
      Due due = queue.remove();
      now = due.atUs;
      due.what.run();
    }
    count();
    return this;
  }

  private void tellAll(Store store) {
    ServerEntry entry = store.entry();
    for (Broker b : brokers) {
      at(
          now + random.nextLong(S / 2),
          () -> {
            b.told.add(store);
            b.policy.on(
                now, new BalancerEvent.ServerListUpdated(ServerListKind.DELTA, List.of(entry)));
          });
    }
  }

  private void turn(Store store, ServerState state) {
    store.state = state;
    tellAll(store);
  }

  private void begin() {
    for (Store s : stores) {
      boolean one = trouble.ordinal() <= Trouble.FLAP.ordinal() && trouble != Trouble.HALF;
      if (one ? s.id == 1 : s.cell == 0 || s.id % 2 == 1 && s.cell != 2) {
        s.startedUs = now;
        tellAll(s);
      }
    }
    if (trouble == Trouble.FLAP) {
      at(now + S, () -> turn(stores.get(0), ServerState.DRAINING));
      at(now + 4 * S, () -> turn(stores.get(0), ServerState.READY));
    }
    if (trouble == Trouble.LEFT_ALONE || trouble == Trouble.FLAP) {
      at(
          now + 3 * S,
          () ->
              stores.stream()
                  .filter(s -> s.cell == 0 && s.id != 1)
                  .forEach(
                      s -> {
                        turn(s, ServerState.DRAINING);
                      }));
    }
    if (trouble == Trouble.KILLED) {
      at(now + S, () -> brokers.subList(0, many * 7 / 10).forEach(Broker::start));
    }
    for (int i = 0; trouble == Trouble.ROLLED && i < 20; i++) {
      int from = i;
      at(
          now + i * S / 2,
          () -> {
            for (int b = from % 10; b < many; b += 10) {
              brokers.get(b).start();
            }
          });
    }
  }

  /**
   * In every window that ends with a send: what came, against N + 2 x root of N + 2, N by the
   * capacity in its midst.
   */
  private void count() {
    double sentUs = 0;
    double couldUs = 0;
    double warmSum = 0;
    double warmLeast = Double.MAX_VALUE;
    int warm = 0;
    for (Store s : stores) {
      double all = s.sent.stream().mapToDouble(Arrival::workUs).sum();
      if (s.startedUs == 0 && s.state == ServerState.READY) {
        warm++;
        warmSum += all;
        warmLeast = Math.min(warmLeast, all);
      }
      if (s.startedUs == 0) {
        continue;
      }
      sentUs += all;
      couldUs += WARM_AFTER * (1 + site.from) / 2;
      double in = 0;
      double told = 0;
      for (int first = 0, last = 0; last < s.sent.size(); last++) {
        in += s.sent.get(last).workUs;
        told += s.sent.get(last).toldUs();
        while (s.sent.get(first).atUs <= s.sent.get(last).atUs - site.fallUs) {
          told -= s.sent.get(first).toldUs();
          in -= s.sent.get(first++).workUs;
        }
        double n =
            site.factor
                * s.capacity(s.sent.get(last).atUs - site.fallUs / 2)
                * site.fallUs
                / meanUs;
        double share = in / meanUs / (n + 2 * Math.sqrt(n) + 2);
        worst = Math.max(worst, share);
        worstTold = Math.max(worstTold, told > in * 2 / 3 ? share : 0);
      }
    }
    used = sentUs / couldUs;
    leastWarm = warmLeast / (warmSum / warm);
    served =
        brokers.stream().mapToInt(b -> b.done).sum()
            / (double) brokers.stream().mapToInt(b -> b.taken).sum();
  }
}

package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.PartArrived;
import dunlinhitch.balancer.BalancerEvent.QueryArrived;
import dunlinhitch.balancer.settings.QueryClass;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the module keeps of servers, attempts, parts and queries: fields only, no decisions. */
final class State {
  private State() {}

  static void dropBefore(Deque<Long> times, long before) {
    while (!times.isEmpty() && times.peekFirst() < before) {
      times.removeFirst();
    }
  }

  /** The newest of a row of figures, and their quantiles. */
  static final class Window {
    private final double[] ring;
    private final double[] sorted;
    private boolean stale = true;
    int seen;
    double least; // of all so far
    long addedAtUs;

    /** Begins with a spread about a mean, so that no quantile is a point. */
    Window(int size, double mean) {
      ring = new double[size];
      sorted = new double[size];
      for (int i = 0; i < size; i++) {
        ring[i] = mean * (0.5 + (double) i / size);
      }
    }

    void add(double value) {
      least = seen == 0 ? value : Math.min(least, value);
      ring[seen++ % ring.length] = value;
      stale = true;
    }

    double quantile(double q) {
      if (stale) {
        System.arraycopy(ring, 0, sorted, 0, ring.length);
        Arrays.sort(sorted);
        stale = false;
      }
      return sorted[(int) (q * (sorted.length - 1))];
    }
  }

  /** A figure that fades with the time since it last changed. */
  static final class Fading {
    private double value;
    long atUs;

    double at(long nowUs, double lifeUs) {
      return value * Math.exp((atUs - nowUs) / lifeUs);
    }

    void add(double more, long nowUs, double lifeUs) {
      value = more + at(nowUs, lifeUs);
      atUs = nowUs;
    }

    /** Moves it a step of the way to a new figure. */
    void blend(double towards, double step, long nowUs, double lifeUs) {
      value = at(nowUs, lifeUs);
      value += step * (towards - value);
      atUs = nowUs;
    }
  }

  /**
   * A token bucket that carries fractions. It begins empty, and what is asked for costs first only
   * a share of its price, the bucket's phase, and then all of it: of many buckets with phases drawn
   * evenly, each in any short time as many let their first through as come to its rate, whatever
   * the prices are, and from then on each lets one through a period.
   */
  static final class Bucket {
    private double level;
    private double phase = 1;
    private long atUs;

    void begin(double drawn, long nowUs) {
      level = 0;
      phase = drawn;
      atUs = nowUs;
    }

    /** Filled up to now; {@code burst}: no more than this beyond one price is ever saved. */
    boolean affords(double price, double rate, double burst, long nowUs) {
      level = Math.min(phase * price + Math.max(0, burst - price), level + rate * (nowUs - atUs));
      atUs = nowUs;
      return level >= phase * price;
    }

    void spend(double price) {
      level -= price;
    }
  }

  /** How one figure grows with another, by least squares over the newest pairs. */
  static final class Slope {
    private double products;
    private double squares;

    void add(double x, double y, double step) {
      products += step * (x * y - products);
      squares += step * (x * x - squares);
    }

    /** The slope, drawn to a first guess that weighs as much as a pair of that square. */
    double about(double guess, double doubt) {
      return (guess * doubt + products) / (doubt + squares);
    }
  }

  /** Counts that fade with time, and what part of their sum each has. */
  static final class Shares {
    private final double[] counts;
    private long atUs;

    Shares(int size) {
      counts = new double[size];
    }

    /** Adds one and returns the part of the sum that this index has. */
    double add(int index, long nowUs, double fadeUs) {
      double keep = Math.exp((atUs - nowUs) / fadeUs);
      atUs = nowUs;
      double sum = 0;
      for (int i = 0; i < counts.length; i++) {
        counts[i] = counts[i] * keep + (i == index ? 1 : 0);
        sum += counts[i];
      }
      return counts[index] / sum;
    }
  }

  /**
   * A class and what was learned of it; its name is what it is known by, for its place may shift.
   */
  static final class Learned {
    QueryClass kind;
    final Window took;

    /** Work of a part, 0 before any was seen. */
    double workUs;

    long workAtUs;
    long longestTryUs;

    Learned(QueryClass kind, Window took) {
      this.kind = kind;
      this.took = took;
    }

    /** One for each kind, in its order: what is known of a class of that name, else nothing yet. */
    static List<Learned> carry(
        List<Learned> before, List<QueryClass> kinds, int window, double firstShare) {
      List<Learned> after =
          kinds.stream()
              .map(
                  kind ->
                      before.stream()
                          .filter(c -> c.kind.name().equals(kind.name()))
                          .findFirst()
                          .orElseGet(
                              () ->
                                  new Learned(
                                      kind,
                                      new Window(window, kind.latencyObjectiveUs() * firstShare))))
              .toList();
      for (int i = 0; i < after.size(); i++) {
        after.get(i).kind = kinds.get(i);
      }
      return after;
    }
  }

  static final class Server {
    final int id;
    int zone;
    int cell;
    ServerState state = ServerState.GONE;
    long toldUs;
    long heardUs;
    long startedUs;

    /** When it came back after it was out by hand: cold from then. */
    long backUs;

    /** From when on it is to be tried once, 0 not. */
    long trialUs;

    long usedAtUs;
    double ledgerUs;
    final List<Attempt> out = new ArrayList<>();
    double debtUs;
    long debtAtUs;
    int failuresInARow;
    double reported;
    long reportedAtUs;
    boolean probing;

    /** What it may be sent while it is cold. */
    final Bucket cold = new Bucket();

    long callAtUs = -1;
    int callParts;

    Server(int id) {
      this.id = id;
    }

    /** As one that has just started: nothing that was learnt of it holds any more. */
    void cameBack(long nowUs) {
      debtUs = 0;
      failuresInARow = 0;
      reported = 0;
      reportedAtUs = 0;
      backUs = nowUs;
      startedUs = nowUs;
    }
  }

  static final class Attempt {
    final Part part;
    final int number;
    final Server server;
    final long sentUs;
    final double workUs;
    final double aheadUs;
    final double predictedUs;
    boolean cancelled;

    /** Sent on a connection that had not been used for long. */
    boolean idle;

    Attempt(
        Part part,
        int number,
        Server server,
        long sentUs,
        double workUs,
        double aheadUs,
        double predictedUs) {
      this.part = part;
      this.number = number;
      this.server = server;
      this.sentUs = sentUs;
      this.workUs = workUs;
      this.aheadUs = aheadUs;
      this.predictedUs = predictedUs;
    }

    /** Books it as out, its work charged to the server. */
    void begin() {
      part.mayHaveRunUs = part.mayHaveRunUs < 0 ? sentUs : part.mayHaveRunUs;
      part.attempts++;
      part.tried.add(server);
      part.out.add(this);
      part.wanted = false;
      server.usedAtUs = sentUs;
      server.trialUs = 0;
      server.out.add(this);
      server.ledgerUs += workUs;
      server.callParts = server.callAtUs == sentUs ? server.callParts + 1 : 1;
      server.callAtUs = sentUs;
    }

    /** Books it as no longer out, its work released. */
    void end(long nowUs) {
      part.out.remove(this);
      server.out.remove(this);
      server.ledgerUs = server.out.isEmpty() ? 0 : server.ledgerUs - workUs;
      server.usedAtUs = nowUs;
    }
  }

  static final class Part {
    final int id;
    final Query query;
    final int shard;
    final double weight;
    final long hintUs;
    final int step;
    final List<Attempt> out = new ArrayList<>();
    final List<Server> tried = new ArrayList<>();
    int attempts;
    long mayHaveRunUs = -1;
    boolean answered;
    boolean settled;
    boolean wanted;
    long tendUs;

    Part(int id, Query query, PartArrived e, int step) {
      this.id = id;
      this.query = query;
      this.shard = e.shard();
      this.weight = Double.isFinite(e.weight()) ? Math.max(0, e.weight()) : 0;
      this.hintUs = e.hintUs();
      this.step = step;
    }

    boolean isOutAt(Server server) {
      return out.stream().anyMatch(a -> a.server == server);
    }

    /** The attempt of that number, if it is still out. */
    Attempt attempt(int number) {
      for (Attempt a : out) {
        if (a.number == number) {
          return a;
        }
      }
      return null;
    }
  }

  static final class Query {
    final int id;
    final long number;
    final Learned learned;

    /** The class as it was when the query was taken. */
    final QueryClass kind;

    final int mostAttempts;
    final int tenant;
    final List<Part> parts = new ArrayList<>();
    int expected;
    long latencyObjectiveUs;
    final long expiresUs;
    final long takenUs;
    int step = 1;
    boolean firstWhole;
    final Set<Server> scouts = new LinkedHashSet<>();
    long holdUntilUs;
    boolean led;
    boolean proven;

    /** Servers that broke off what was out to them, and when. */
    final Map<Server, Long> brokeAt = new LinkedHashMap<>();

    double patience;

    /** Weight of the parts of the present step whose answers are in. */
    double answered;

    boolean over;
    final boolean repeat;

    Query(QueryArrived e, Learned learned, int mostAttempts, long takenUs) {
      id = e.id();
      expiresUs = e.deadlineUs();
      this.takenUs = takenUs;
      number = e.number();
      tenant = e.tenant();
      repeat = e.repeat();
      this.learned = learned;
      this.mostAttempts = mostAttempts;
      kind = learned.kind;
      expected = Math.max(1, e.parts());
    }
  }

  /** The queries that are open, and the parts that are, or may still have something out. */
  static final class Open {
    private final Map<Integer, Query> queries = new LinkedHashMap<>();
    private final Map<Long, Query> byNumber = new HashMap<>();
    private final Map<Integer, Part> parts = new HashMap<>();

    void add(Query q) {
      queries.put(q.id, q);
      byNumber.put(q.number, q);
    }

    Part add(Part part) {
      parts.put(part.id, part);
      part.query.parts.add(part);
      return part;
    }

    Query get(int id) {
      return queries.get(id);
    }

    Query numbered(long number) {
      return byNumber.get(number);
    }

    Part part(int id) {
      return parts.get(id);
    }

    /** All as they are now: what is done with one may end others. */
    List<Query> all() {
      return new ArrayList<>(queries.values());
    }

    void remove(Query q) {
      q.over = true;
      queries.remove(q.id);
      byNumber.remove(q.number);
      q.parts.forEach(this::forget);
    }

    void forget(Part part) {
      if (part.query.over && part.out.isEmpty()) {
        parts.remove(part.id);
      }
    }
  }
}

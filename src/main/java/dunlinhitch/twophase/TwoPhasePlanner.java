package dunlinhitch.twophase;

import dunlinhitch.twophase.TwoPhasePlan.Why;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * Whether a query goes in two phases, how long the first may take, which blocks it spares and which
 * of those are asked in full all the same. No I/O, no clock, no threads: every call brings the time
 * (microseconds on one clock).
 */
public final class TwoPhasePlanner {
  private static final int MOST_BLOCKS = 1 << 20;
  private static final int MOST_PREDICATES = 256;
  private static final long SUMMARY_US = 30_000_000;
  private static final long WINDOW_US = 20_000_000;
  private static final long MOST_TOOK_US = 60_000_000;

  /**
   * A first pass gets as much at least: turns are ticks apart, and a connection may have to come
   * up.
   */
  private static final long LEAST_FIRST_US = 25_000;

  /** Of a first pass, until it has been seen where there is no queue. */
  private static final double FIRST_PRICE = 0.1;

  private static final double CONGESTED = 1.5;

  /** Stores that have become slower for good are no queue. */
  private static final double DRIFT = 1.0005;

  private static final double QUICK = 5;
  private static final double SLOW = 90;
  private static final double LATE = 99;

  /** Before so many answers of both passes are seen, two phases are only tried. */
  private static final int ENOUGH = 20;

  /** What is known of the share of empty blocks fades by this with each first answer. */
  private static final double FADE = 0.02;

  /** While nothing is known yet, one query in so many is a trial. */
  private static final double FIRST_TRIALS = 0.25;

  /** A first answer: how many records the block has, and the value that stands for none. */
  public record First(long records, String version, String emptyValue) {}

  /**
   * What becomes of the blocks of a first pass: which have their value, which are asked in full, in
   * this order.
   */
  public record Outcome(Set<Integer> pruned, List<Integer> full, Set<Integer> audited) {}

  /** Quantiles of the last two windows. */
  private static final class Took {
    private Histogram now = new Histogram(MOST_TOOK_US, 2);
    private Histogram before = new Histogram(MOST_TOOK_US, 2);
    private long turnUs;

    void add(long atUs, long tookUs) {
      if (atUs >= turnUs) {
        Histogram oldest = before;
        before = now;
        now = oldest;
        now.reset();
        turnUs = atUs + WINDOW_US;
      }
      now.recordValue(Math.max(1, Math.min(MOST_TOOK_US, tookUs)));
    }

    long count() {
      return now.getTotalCount() + before.getTotalCount();
    }

    double at(double percentile) {
      Histogram fuller = now.getTotalCount() >= before.getTotalCount() ? now : before;
      return fuller.getValueAtPercentile(percentile);
    }
  }

  private static final class OfClass {
    private final TwoPhaseSettings settings;
    private final Took first = new Took();

    /**
     * As first, and with it those that never came in time: without them the wait would grow shorter
     * and shorter.
     */
    private final Took waited = new Took();

    private final Took full = new Took();
    private double empty = 0.5;
    private double price = FIRST_PRICE;
    private double quickestFull = MOST_TOOK_US;
    private long closedUntilUs = Long.MIN_VALUE;
    private boolean paid;
    private final Map<Why, Long> whys = new EnumMap<>(Why.class);

    OfClass(TwoPhaseSettings settings) {
      this.settings = settings;
    }

    double price() {
      return first.count() < ENOUGH || full.count() < ENOUGH ? 0 : price;
    }

    /**
     * The quick ends of both passes, where stores have no queue. Where even the quickest full part
     * waited, the ratio says more of the queue than of the price: then it may only fall.
     */
    void learnPrice() {
      if (first.count() >= ENOUGH && full.count() >= ENOUGH) {
        double quick = full.at(QUICK);
        double ratio = Math.min(2, first.at(QUICK) / quick);
        quickestFull = Math.min(quick, quickestFull * DRIFT);
        price = quick > CONGESTED * quickestFull ? Math.min(price, ratio) : ratio;
      }
    }
  }

  private final Map<String, OfClass> classes = new HashMap<>();
  private final BlockSummaries summaries =
      new BlockSummaries(MOST_BLOCKS, MOST_PREDICATES, SUMMARY_US);
  private final RandomGenerator random;

  public TwoPhasePlanner(Collection<TwoPhaseSettings> settings, RandomGenerator random) {
    settings.forEach(s -> classes.put(s.queryClass(), new OfClass(s)));
    this.random = random;
  }

  /** True where queries of the class may go in two phases. */
  public boolean isSet(String queryClass) {
    return classes.containsKey(queryClass);
  }

  public double share(String queryClass) {
    return classes.get(queryClass).settings.share();
  }

  /** What a first pass costs of the full work, 0 while too little is known. */
  public double price(String queryClass) {
    return classes.get(queryClass).price();
  }

  /**
   * A query has come. {@code able} are the shards whose every store can give a first answer; {@code
   * untilUs} is its aim, or its deadline where that is nearer.
   */
  public TwoPhasePlan arrived(
      long nowUs,
      String queryClass,
      Collection<Integer> shards,
      Set<Integer> able,
      String predicate,
      long untilUs) {
    OfClass c = classes.get(queryClass);
    if (c == null) {
      return TwoPhasePlan.one(Why.NOT_SET);
    }
    TwoPhasePlan plan = plan(nowUs, c, shards, able, predicate, untilUs);
    c.whys.merge(plan.why(), 1L, Long::sum);
    return plan;
  }

  private TwoPhasePlan plan(
      long nowUs,
      OfClass c,
      Collection<Integer> shards,
      Set<Integer> able,
      String predicate,
      long untilUs) {
    if (shards.size() < c.settings.least()) {
      return TwoPhasePlan.one(Why.FEW_BLOCKS);
    }
    if (nowUs < c.closedUntilUs) {
      return TwoPhasePlan.one(Why.CLOSED);
    }
    if (able.isEmpty()) {
      return TwoPhasePlan.one(Why.ONE_PHASE_STORES);
    }
    boolean known = c.first.count() >= ENOUGH && c.full.count() >= ENOUGH;
    boolean pays = known && c.empty > c.price() + c.settings.margin();
    c.paid = pays;
    boolean trial =
        !pays
            && random.nextDouble()
                < (known ? c.settings.trial() : Math.max(FIRST_TRIALS, c.settings.trial()));
    if (!pays && !trial) {
      return TwoPhasePlan.one(Why.DOES_NOT_PAY);
    }
    long left = untilUs - nowUs;
    long most = (long) (c.settings.share() * left);
    long end =
        nowUs
            + (known
                ? Math.min(most, Math.max(LEAST_FIRST_US, (long) (2 * c.waited.at(LATE))))
                : most);
    if (c.full.count() >= ENOUGH && untilUs - end < 2 * c.full.at(SLOW)) {
      return TwoPhasePlan.one(Why.TOO_LITTLE_TIME);
    }
    int feature = BlockSummaries.feature(predicate);
    Set<Integer> first = new HashSet<>();
    for (int shard : able) {
      if (trial || summaries.hint(nowUs, shard, feature) != BlockSummaries.Hint.SOMETHING) {
        first.add(shard);
      }
    }
    return first.isEmpty()
        ? TwoPhasePlan.one(Why.KNOWN_FULL)
        : new TwoPhasePlan(first, end, trial ? Why.TRIAL : Why.TWO_PHASES);
  }

  /** A first answer came in, so long after its part was sent. */
  public void firstCame(
      long nowUs, String queryClass, int shard, String predicate, First answer, long tookUs) {
    OfClass c = classes.get(queryClass);
    if (c != null) {
      c.first.add(nowUs, tookUs);
      c.waited.add(nowUs, tookUs);
      c.empty += FADE * ((answer.records() == 0 ? 1 : 0) - c.empty);
      summaries.told(
          nowUs, shard, answer.version(), BlockSummaries.feature(predicate), answer.records() == 0);
    }
  }

  /**
   * A first answer was given up after so long: it would have taken longer, nobody knows how much.
   */
  public void firstMissed(long nowUs, String queryClass, long waitedUs) {
    OfClass c = classes.get(queryClass);
    if (c != null) {
      c.waited.add(nowUs, 2 * waitedUs);
    }
  }

  /** A full answer came in, of a query of either kind. */
  public void fullCame(long nowUs, String queryClass, long tookUs) {
    OfClass c = classes.get(queryClass);
    if (c != null) {
      c.full.add(nowUs, tookUs);
      c.learnPrice();
    }
  }

  /**
   * The first pass is over. Blocks whose store said that there is nothing are spared, but for the
   * audited; the rest are asked in full, those that are likeliest to have something first. A block
   * without a first answer is never spared.
   */
  public Outcome over(
      long nowUs,
      String queryClass,
      String predicate,
      Collection<Integer> asked,
      Map<Integer, First> answers) {
    OfClass c = classes.get(queryClass);
    List<Integer> full = new ArrayList<>();
    Set<Integer> pruned = new HashSet<>();
    Set<Integer> audited = new HashSet<>();
    boolean closed = c == null || nowUs < c.closedUntilUs; // it closed while this one was under way
    for (int shard : asked) {
      First answer = answers.get(shard);
      if (closed || answer == null || answer.records() != 0) {
        full.add(shard);
      } else if (random.nextDouble() < c.settings.audit()) {
        audited.add(shard);
      } else {
        pruned.add(shard);
      }
    }
    if (!asked.isEmpty()
        && full.isEmpty()
        && audited.isEmpty()
        && c.settings.audit() > 0
        && pruned.size() == asked.size()) {
      int one = asked.stream().skip(random.nextInt(asked.size())).findFirst().orElseThrow();
      pruned.remove(one);
      audited.add(one);
    }
    int feature = BlockSummaries.feature(predicate);
    full.sort(
        (a, b) -> Long.compare(rank(nowUs, b, feature, answers), rank(nowUs, a, feature, answers)));
    full.addAll(audited);
    return new Outcome(pruned, full, audited);
  }

  private long rank(long nowUs, int shard, int feature, Map<Integer, First> answers) {
    First answer = answers.get(shard);
    if (answer != null) {
      return answer.records();
    }
    return switch (summaries.hint(nowUs, shard, feature)) {
      case SOMETHING -> 1;
      case UNKNOWN -> 0;
      case NOTHING -> -1;
    };
  }

  /**
   * An audited block's full answer is in; {@code same}: it is the empty value that its store gave.
   * True: pruning closes.
   */
  public boolean audited(long nowUs, String queryClass, int shard, boolean same) {
    OfClass c = classes.get(queryClass);
    if (same || c == null) {
      return false;
    }
    summaries.forget(shard);
    boolean was = nowUs < c.closedUntilUs;
    c.closedUntilUs = nowUs + c.settings.closeUs();
    return !was;
  }

  /** The stores of a block are other ones now. */
  public void forget(int shard) {
    summaries.forget(shard);
  }

  /** A line for the operators. */
  public record Shown(
      String queryClass,
      double empty,
      double price,
      boolean pays,
      boolean closed,
      Map<Why, Long> whys) {}

  public List<Shown> shown(long nowUs) {
    return classes.values().stream()
        .map(
            c ->
                new Shown(
                    c.settings.queryClass(),
                    c.empty,
                    c.price(),
                    c.paid,
                    nowUs < c.closedUntilUs,
                    Map.copyOf(c.whys)))
        .toList();
  }
}

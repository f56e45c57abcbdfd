package dunlinhitch.experiments.simulation;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.FactorTable;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.Scoring;
import dunlinhitch.scoring.ScoringRule;
import dunlinhitch.scoring.Sight;
import dunlinhitch.scoring.Weight;
import dunlinhitch.scoring.WeightKey;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.Scorer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Many brokers with a scorer each before stores of which some are slower than they report, on
 * virtual time: Graham's rule with factors, first come first served at the stores, one part a
 * query. Less than a broker does: nothing is sent twice, refused or probed.
 */
public final class ScorerWorld {
  /**
   * What one run is made of.
   *
   * @param workUs mean work of a part
   * @param slowShare stores that take 4 to 8 times as long, and report as few parts of what waits
   *     there
   * @param load of what all stores can do
   * @param scorer one for each broker, or null for Graham's rule alone
   * @param shared whether weights ride from broker to broker
   * @param together whether all brokers' rounds are at one moment
   * @param staleUs the oldest that a word is when it is heard
   */
  public record Plan(
      int brokers,
      int cells,
      int replicas,
      long workUs,
      double slowShare,
      double load,
      Supplier<Scorer> scorer,
      ScoringRule rule,
      boolean shared,
      boolean together,
      long staleUs) {}

  private static final int KIND = 0;
  private static final long DAY_US = 1_700_000_000_000_000L;
  private static final double REPORTS_FADE = 4; // aims

  private static final class Store {
    private final double times;
    private final String name;
    private long busyUntilUs;
    private int queued;
    private int[] inWindow = new int[0];

    private Store(String name, double times) {
      this.name = name;
      this.times = times;
    }
  }

  private final class Broker {
    private final double[] ledgerUs = new double[stores.size()];
    private final int[] out = new int[stores.size()];
    private final double[] reported = new double[stores.size()];
    private final long[] reportedAtUs = new long[stores.size()];
    private final Scorer scorer;
    private final Scoring scoring;
    private FactorTable factors = FactorTable.NONE;
    private long told;

    private Broker(int number) {
      scorer = plan.scorer() == null ? null : plan.scorer().get();
      scoring =
          scorer == null
              ? null
              : new Scoring(
                  "n" + number,
                  new ScorerIdentity(scorer.name(), scorer.version(), "{}"),
                  plan.rule(),
                  List.of(new Scoring.Kind("a", aimUs())),
                  seed + number);
    }

    private double entry(int store) {
      double age = scheduler.now() - reportedAtUs[store];
      return ledgerUs[store]
          + reported[store] * Math.exp(-age / (REPORTS_FADE * aimUs())) * plan.workUs();
    }

    private int choose(int cell) {
      int best = -1;
      double least = 0;
      for (int i = cell * plan.replicas(); i < (cell + 1) * plan.replicas(); i++) {
        double work = (entry(i) + plan.workUs()) * factors.factor(i, KIND);
        double score = work * (1 + 0.001 * random.nextDouble());
        if (best < 0 || score < least) {
          best = i;
          least = score;
        }
      }
      return best;
    }

    private void send() {
      int at = choose(random.nextInt(plan.cells()));
      Store store = stores.get(at);
      long sentUs = scheduler.now();
      chosen.add(at);
      count(store);
      long foreseenUs = (long) (entry(at) + plan.workUs());
      ledgerUs[at] += plan.workUs();
      out[at]++;
      store.queued++;
      long serviceUs = (long) (-Math.log(1 - random.nextDouble()) * plan.workUs() * store.times);
      store.busyUntilUs = Math.max(store.busyUntilUs, sentUs) + serviceUs;
      scheduler.at(
          store.busyUntilUs,
          () -> {
            store.queued--;
            out[at]--;
            ledgerUs[at] = Math.max(0, ledgerUs[at] - plan.workUs());
            reported[at] = Math.max(0, store.queued - out[at]) / store.times;
            reportedAtUs[at] = scheduler.now();
            long tookUs = scheduler.now() - sentUs;
            finished.add(new Finished(this, sentUs, tookUs));
            if (scoring != null) {
              scoring.ended(
                  store.name,
                  KIND,
                  new Ending(Ending.Outcome.ANSWERED, scheduler.now(), tookUs, foreseenUs));
            }
          });
    }

    private void round() {
      List<Sight> sights = new ArrayList<>();
      for (int i = 0; i < stores.size(); i++) {
        sights.add(
            new Sight(
                i,
                stores.get(i).name,
                i / plan.replicas(),
                "",
                true,
                1,
                0,
                entry(i),
                List.of(reported[i]),
                scheduler.now() - reportedAtUs[i]));
      }
      scoring.seen(sights);
      long dayUs = DAY_US + scheduler.now();
      List<Round> rounds = scoring.rounds(scheduler.now(), dayUs);
      List<List<Judgement>> said = new ArrayList<>();
      rounds.forEach(round -> said.add(scorer.judge(round)));
      String wrong = scoring.judged(dayUs, rounds, said);
      if (!wrong.isEmpty()) {
        throw new IllegalStateException(wrong);
      }
      factors = scoring.table();
      if (plan.shared()) {
        tell();
      }
      long nextUs =
          plan.together()
              ? (scheduler.now() / plan.rule().roundUs() + 1) * plan.rule().roundUs()
              : scoring.nextRoundUs(scheduler.now());
      scheduler.at(nextUs, this::round);
    }

    /** Own words go to every other broker, each after a time of its own. */
    private void tell() {
      String self = "n" + brokers.indexOf(this);
      List<ReplicatedEntry<WeightKey, Weight>> news =
          scoring.weights().since(told, Integer.MAX_VALUE).stream()
              .filter(fact -> fact.origin().equals(self))
              .toList();
      told = scoring.weights().version();
      if (!news.isEmpty()) {
        for (Broker other : brokers) {
          if (other != this) {
            scheduler.after(
                (long) (random.nextDouble() * plan.staleUs()),
                () ->
                    news.forEach(
                        fact -> other.scoring.weights().told(DAY_US + scheduler.now(), fact)));
          }
        }
      }
    }
  }

  private record Finished(Broker broker, long sentUs, long tookUs) {}

  private final Plan plan;
  private final long seed;
  private final SplittableRandom random;
  private final Scheduler scheduler = new Scheduler(0);
  private final List<Store> stores = new ArrayList<>();
  private final List<Broker> brokers = new ArrayList<>();
  private final List<Finished> finished = new ArrayList<>();
  private final List<Integer> chosen = new ArrayList<>();
  private final double everyUs;
  private static final long WINDOW_US = 1_000_000;

  public ScorerWorld(Plan plan, long seed) {
    this.plan = plan;
    this.seed = seed;
    random = new SplittableRandom(seed);
    int many = plan.cells() * plan.replicas();
    double able = 0;
    for (int i = 0; i < many; i++) {
      // spread over the cells, so that none has slow ones alone
      boolean slow = Math.floor((i + 1) * plan.slowShare()) > Math.floor(i * plan.slowShare());
      double times = slow ? 4 + 4 * random.nextDouble() : 1;
      stores.add(new Store("s" + i, times));
      able += 1 / times;
    }
    everyUs =
        plan.workUs() / (able * plan.load()) * plan.brokers(); // from query to query at one broker
    for (int i = 0; i < plan.brokers(); i++) {
      join();
    }
  }

  private long aimUs() {
    return 20 * plan.workUs();
  }

  /**
   * One more broker, which knows nothing; the others' words are told to it at once, as to any
   * newcomer.
   */
  public void join() {
    Broker fresh = new Broker(brokers.size());
    brokers.add(fresh);
    if (fresh.scoring != null) {
      if (plan.shared() && brokers.size() > 1) {
        brokers
            .get(0)
            .scoring
            .weights()
            .since(0, Integer.MAX_VALUE)
            .forEach(fact -> fresh.scoring.weights().told(DAY_US + scheduler.now(), fact));
      }
      scheduler.after(plan.together() ? 0 : random.nextLong(plan.rule().roundUs()), fresh::round);
    }
    next(fresh);
  }

  private void next(Broker broker) {
    scheduler.after(
        (long) (-Math.log(1 - random.nextDouble()) * everyUs),
        () -> {
          broker.send();
          next(broker);
        });
  }

  public void playTo(long untilUs) {
    scheduler.until(untilUs, () -> true);
  }

  private void count(Store store) {
    int window = (int) (scheduler.now() / WINDOW_US);
    if (store.inWindow.length <= window) {
      store.inWindow = Arrays.copyOf(store.inWindow, window + 64);
    }
    store.inWindow[window]++;
  }

  /** Which store each part went to. */
  public List<Integer> chosen() {
    return List.copyOf(chosen);
  }

  /**
   * Share of what was sent in that time that was answered within the aim; {@code newest}: of the
   * broker that joined last alone.
   */
  public double worth(long fromUs, long untilUs, boolean newest) {
    double[] took = took(fromUs, untilUs, newest);
    return Arrays.stream(took).filter(t -> t <= aimUs()).count()
        / (double) Math.max(1, took.length);
  }

  /** What all but one in a hundred took at the most, µs. */
  public double p99(long fromUs, long untilUs, boolean newest) {
    double[] took = took(fromUs, untilUs, newest);
    Arrays.sort(took);
    return took.length == 0 ? 0 : took[(int) (0.99 * (took.length - 1))];
  }

  private double[] took(long fromUs, long untilUs, boolean newest) {
    Broker last = brokers.get(brokers.size() - 1);
    return finished.stream()
        .filter(f -> f.sentUs >= fromUs && f.sentUs < untilUs && (!newest || f.broker == last))
        .mapToDouble(Finished::tookUs)
        .toArray();
  }

  /**
   * Parts at a store from second to second: by how much of the mean they lie beside it, root of the
   * mean square, over all stores.
   */
  public double swing(long fromUs, long untilUs) {
    double sum = 0;
    int first = (int) (fromUs / WINDOW_US);
    int last = (int) (untilUs / WINDOW_US);
    for (Store store : stores) {
      int[] counts = Arrays.copyOfRange(store.inWindow, first, last);
      double mean = Arrays.stream(counts).average().orElse(0);
      double square =
          Arrays.stream(counts).mapToDouble(n -> (n - mean) * (n - mean)).average().orElse(0);
      sum += mean == 0 ? 0 : Math.sqrt(square) / mean;
    }
    return sum / stores.size();
  }
}

package dunlinhitch.experiments.simulation;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.EndpointSnapshot;
import dunlinhitch.scoring.FactorTable;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.Scoring;
import dunlinhitch.scoring.ScoringSettings;
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
 * Simulates several brokers, each with its own scorer, and stores. Some stores are slower than
 * their load reports state. A broker sends a part to the store with the least estimated work
 * (Graham's rule). The estimate is multiplied by the factor that the broker's scorer assigns to the
 * store. Stores serve parts in the order of arrival, and a query has one part. Hedging, rejection
 * and health checks are not modelled. Runs on one thread in virtual time.
 */
public final class ScorerSimulation {
  /**
   * The parameters of a run.
   *
   * @param replicas stores in each cell
   * @param workUs mean service time of a part at a store that is not slow
   * @param slowShare share of the stores that are slow. The service time of a slow store is
   *     multiplied by a factor of 4 to 8, and the queue length in its load reports is divided by
   *     the same factor
   * @param load offered load as a share of the capacity of all stores
   * @param scorer creates the scorer of each broker, or null for Graham's rule without factors
   * @param shared whether brokers send their weights to each other
   * @param simultaneousRounds whether all brokers run their scoring rounds at the same time
   * @param maxWeightDelayUs maximum delay of weights between two brokers
   */
  public record Plan(
      int brokers,
      int cells,
      int replicas,
      long workUs,
      double slowShare,
      double load,
      Supplier<Scorer> scorer,
      ScoringSettings scoringSettings,
      boolean shared,
      boolean simultaneousRounds,
      long maxWeightDelayUs) {}

  private static final int QUERY_CLASS = 0;
  private static final long CLOCK_START_US = 1_700_000_000_000_000L;
  private static final double REPORT_DECAY_OBJECTIVES = 4;

  private static final class Store {
    private final double slowdown;
    private final String name;
    private long busyUntilUs;
    private int queued;
    private int[] countsByWindow = new int[0];

    private Store(String name, double slowdown) {
      this.name = name;
      this.slowdown = slowdown;
    }
  }

  private final class Broker {
    private final double[] outstandingWorkUs = new double[stores.size()];
    private final int[] outstandingParts = new int[stores.size()];
    private final double[] reported = new double[stores.size()];
    private final long[] reportedAtUs = new long[stores.size()];
    private final Scorer scorer;
    private final Scoring scoring;
    private FactorTable factors = FactorTable.NONE;
    private long publishedVersion;

    private Broker(int number) {
      scorer = plan.scorer() == null ? null : plan.scorer().get();
      scoring =
          scorer == null
              ? null
              : new Scoring(
                  "n" + number,
                  new ScorerIdentity(scorer.name(), scorer.version(), "{}"),
                  plan.scoringSettings(),
                  List.of(new Scoring.QueryClass("a", latencyObjectiveUs())),
                  seed + number);
    }

    private double estimatedWorkUs(int store) {
      double age = scheduler.now() - reportedAtUs[store];
      return outstandingWorkUs[store]
          + reported[store]
              * Math.exp(-age / (REPORT_DECAY_OBJECTIVES * latencyObjectiveUs()))
              * plan.workUs();
    }

    private int selectStore(int cell) {
      int bestIndex = -1;
      double lowestScore = 0;
      for (int i = cell * plan.replicas(); i < (cell + 1) * plan.replicas(); i++) {
        double work = (estimatedWorkUs(i) + plan.workUs()) * factors.factor(i, QUERY_CLASS);
        double score = work * (1 + 0.001 * random.nextDouble());
        if (bestIndex < 0 || score < lowestScore) {
          bestIndex = i;
          lowestScore = score;
        }
      }
      return bestIndex;
    }

    private void send() {
      int index = selectStore(random.nextInt(plan.cells()));
      Store store = stores.get(index);
      long sentUs = scheduler.now();
      selectedStores.add(index);
      countPart(store);
      long expectedUs = (long) (estimatedWorkUs(index) + plan.workUs());
      outstandingWorkUs[index] += plan.workUs();
      outstandingParts[index]++;
      store.queued++;
      long serviceUs = (long) (-Math.log(1 - random.nextDouble()) * plan.workUs() * store.slowdown);
      store.busyUntilUs = Math.max(store.busyUntilUs, sentUs) + serviceUs;
      scheduler.scheduleAt(
          store.busyUntilUs,
          () -> {
            store.queued--;
            outstandingParts[index]--;
            outstandingWorkUs[index] = Math.max(0, outstandingWorkUs[index] - plan.workUs());
            reported[index] = Math.max(0, store.queued - outstandingParts[index]) / store.slowdown;
            reportedAtUs[index] = scheduler.now();
            long tookUs = scheduler.now() - sentUs;
            finished.add(new Finished(this, sentUs, tookUs));
            if (scoring != null) {
              scoring.onAttemptCompleted(
                  store.name,
                  QUERY_CLASS,
                  new Ending(Ending.Outcome.ANSWERED, scheduler.now(), tookUs, expectedUs));
            }
          });
    }

    private void runScoringRound() {
      List<EndpointSnapshot> snapshots = new ArrayList<>();
      for (int i = 0; i < stores.size(); i++) {
        snapshots.add(
            new EndpointSnapshot(
                i,
                stores.get(i).name,
                i / plan.replicas(),
                "",
                true,
                1,
                0,
                estimatedWorkUs(i),
                List.of(reported[i]),
                scheduler.now() - reportedAtUs[i]));
      }
      scoring.updateEndpoints(snapshots);
      long wallClockUs = CLOCK_START_US + scheduler.now();
      List<Round> rounds = scoring.rounds(scheduler.now(), wallClockUs);
      List<List<Judgement>> judgements = new ArrayList<>();
      rounds.forEach(round -> judgements.add(scorer.judge(round)));
      String error = scoring.applyJudgements(wallClockUs, rounds, judgements);
      if (!error.isEmpty()) {
        throw new IllegalStateException(error);
      }
      factors = scoring.factors();
      if (plan.shared()) {
        shareWeights();
      }
      long nextUs =
          plan.simultaneousRounds()
              ? (scheduler.now() / plan.scoringSettings().roundUs() + 1)
                  * plan.scoringSettings().roundUs()
              : scoring.nextRoundUs(scheduler.now());
      scheduler.scheduleAt(nextUs, this::runScoringRound);
    }

    /** Sends the weights that changed at this broker to all others, each after a random delay. */
    private void shareWeights() {
      String ownName = "n" + brokers.indexOf(this);
      List<ReplicatedEntry<WeightKey, Weight>> changes =
          scoring.weights().since(publishedVersion, Integer.MAX_VALUE).stream()
              .filter(entry -> entry.origin().equals(ownName))
              .toList();
      publishedVersion = scoring.weights().version();
      if (!changes.isEmpty()) {
        for (Broker other : brokers) {
          if (other != this) {
            scheduler.scheduleAfter(
                (long) (random.nextDouble() * plan.maxWeightDelayUs()),
                () ->
                    changes.forEach(
                        entry ->
                            other
                                .scoring
                                .weights()
                                .merge(CLOCK_START_US + scheduler.now(), entry)));
          }
        }
      }
    }
  }

  private record Finished(Broker broker, long sentUs, long latencyUs) {}

  private final Plan plan;
  private final long seed;
  private final SplittableRandom random;
  private final Scheduler scheduler = new Scheduler(0);
  private final List<Store> stores = new ArrayList<>();
  private final List<Broker> brokers = new ArrayList<>();
  private final List<Finished> finished = new ArrayList<>();
  private final List<Integer> selectedStores = new ArrayList<>();
  private final double meanGapUs;
  private static final long WINDOW_US = 1_000_000;

  /** Creates the stores and the brokers of a plan. */
  public ScorerSimulation(Plan plan, long seed) {
    this.plan = plan;
    this.seed = seed;
    random = new SplittableRandom(seed);
    int storeCount = plan.cells() * plan.replicas();
    double capacity = 0;
    for (int i = 0; i < storeCount; i++) {
      // spreads slow stores over the cells, so that no cell consists of slow stores only
      boolean slow = Math.floor((i + 1) * plan.slowShare()) > Math.floor(i * plan.slowShare());
      double slowdown = slow ? 4 + 4 * random.nextDouble() : 1;
      stores.add(new Store("s" + i, slowdown));
      capacity += 1 / slowdown;
    }
    // The mean time between two queries of one broker, in microseconds.
    meanGapUs = plan.workUs() / (capacity * plan.load()) * plan.brokers();
    for (int i = 0; i < plan.brokers(); i++) {
      addBroker();
    }
  }

  private long latencyObjectiveUs() {
    return 20 * plan.workUs();
  }

  /**
   * Adds a broker that has no weights of its own. If weights are shared, the new broker immediately
   * receives the weights of the first broker, as it would when joining a cluster.
   */
  public void addBroker() {
    Broker joined = new Broker(brokers.size());
    brokers.add(joined);
    if (joined.scoring != null) {
      if (plan.shared() && brokers.size() > 1) {
        brokers
            .get(0)
            .scoring
            .weights()
            .since(0, Integer.MAX_VALUE)
            .forEach(
                entry -> joined.scoring.weights().merge(CLOCK_START_US + scheduler.now(), entry));
      }
      scheduler.scheduleAfter(
          plan.simultaneousRounds() ? 0 : random.nextLong(plan.scoringSettings().roundUs()),
          joined::runScoringRound);
    }
    scheduleNextQuery(joined);
  }

  private void scheduleNextQuery(Broker broker) {
    scheduler.scheduleAfter(
        (long) (-Math.log(1 - random.nextDouble()) * meanGapUs),
        () -> {
          broker.send();
          scheduleNextQuery(broker);
        });
  }

  /** Runs the simulation until virtual time {@code untilUs}, in microseconds. */
  public void runUntil(long untilUs) {
    scheduler.runUntil(untilUs, () -> true);
  }

  private void countPart(Store store) {
    int window = (int) (scheduler.now() / WINDOW_US);
    if (store.countsByWindow.length <= window) {
      store.countsByWindow = Arrays.copyOf(store.countsByWindow, window + 64);
    }
    store.countsByWindow[window]++;
  }

  /**
   * Returns, for each part in the order of sending, the index of the store to which it was sent.
   */
  public List<Integer> selectedStores() {
    return List.copyOf(selectedStores);
  }

  /**
   * Returns the fraction of parts that met the latency objective, among the completed parts that
   * were sent between {@code fromUs} and {@code untilUs}. If {@code newest} is true, only parts of
   * the broker that joined last are considered.
   */
  public double shareWithinObjective(long fromUs, long untilUs, boolean newest) {
    double[] latencies = latencies(fromUs, untilUs, newest);
    return Arrays.stream(latencies).filter(t -> t <= latencyObjectiveUs()).count()
        / (double) Math.max(1, latencies.length);
  }

  /**
   * Returns the 99th percentile of the latency in microseconds, over the same parts as {@link
   * #shareWithinObjective}.
   */
  public double p99(long fromUs, long untilUs, boolean newest) {
    double[] latencies = latencies(fromUs, untilUs, newest);
    Arrays.sort(latencies);
    return latencies.length == 0 ? 0 : latencies[(int) (0.99 * (latencies.length - 1))];
  }

  private double[] latencies(long fromUs, long untilUs, boolean newest) {
    Broker last = brokers.get(brokers.size() - 1);
    return finished.stream()
        .filter(f -> f.sentUs >= fromUs && f.sentUs < untilUs && (!newest || f.broker == last))
        .mapToDouble(Finished::latencyUs)
        .toArray();
  }

  /**
   * Returns the coefficient of variation of the number of parts that a store receives per second,
   * averaged over all stores.
   */
  public double loadVariation(long fromUs, long untilUs) {
    double sum = 0;
    int first = (int) (fromUs / WINDOW_US);
    int last = (int) (untilUs / WINDOW_US);
    for (Store store : stores) {
      int[] counts = Arrays.copyOfRange(store.countsByWindow, first, last);
      double mean = Arrays.stream(counts).average().orElse(0);
      double square =
          Arrays.stream(counts).mapToDouble(n -> (n - mean) * (n - mean)).average().orElse(0);
      sum += mean == 0 ? 0 : Math.sqrt(square) / mean;
    }
    return sum / stores.size();
  }
}

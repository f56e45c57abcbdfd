package dunlinhitch.experiments.answerkeys;

import dunlinhitch.answerkeys.Action;
import dunlinhitch.answerkeys.AnswerKeyCounter;
import dunlinhitch.answerkeys.CachedAnswer;
import dunlinhitch.answerkeys.StoreAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Simulates brokers with answer keys in front of stores, in virtual time, and compares each answer
 * with the expected one. The rule {@code forms} is always correct. The rule {@code language}
 * becomes incorrect when the answers start to depend on the language, see {@link
 * Setup#ruleBecomesFalse}. Not thread-safe.
 */
public final class AnswerKeySimulation {
  /** How queries share answers. */
  public enum Mode {
    /** Answers are not shared. */
    NONE,
    /** Queries with equal texts share an answer. */
    EXACT,
    /** Queries that the rules map to the same answer key share an answer. */
    RULES
  }

  /**
   * The parameters of one run.
   *
   * @param perSecond queries per second over all brokers
   * @param loss the probability that a message between brokers is lost
   * @param failureProbability the probability that a fetch fails
   * @param partitioned whether the network is partitioned into two halves for 10 s
   * @param ruleBecomesFalse whether answers depend on the language after the first 24 s. If {@code
   *     partitioned} is also true, the network is partitioned when this change happens
   */
  public record Setup(
      long seed,
      int brokers,
      Mode mode,
      double perSecond,
      double loss,
      double failureProbability,
      boolean partitioned,
      boolean ruleBecomesFalse) {}

  /**
   * The counts of a run. The first 15 s are the warm-up and are not counted.
   *
   * @param repeatedFetches unnecessary fetches: the previous answer had not reached its maximum age
   *     and the data had not changed
   * @param wrongAnswers answers that were computed for another topic or language
   * @param outdatedAnswers answers computed from data that had been out of date for longer than the
   *     maximum age of an answer
   * @param unended queries without exactly one response by their deadline
   * @param wrongAnswersBound upper bound of {@code wrongAnswers}
   * @param demotedAfterUs time in microseconds from the moment at which answers start to depend on
   *     the language until all brokers have stopped applying the rule {@code language}; -1 if some
   *     broker never stops
   */
  public record Result(
      long queries,
      long fetches,
      long trials,
      long repeatedFetches,
      long wrongAnswers,
      long outdatedAnswers,
      long unended,
      double wrongAnswersBound,
      long demotedAfterUs,
      long p50Us,
      long p99Us,
      String states) {}

  /** A message between brokers. */
  interface Message {
    List<Action> deliverTo(SimulatedBroker receiver);
  }

  private static final long SECOND_US = 1_000_000;
  private static final long COUNTED_FROM_US = 15 * SECOND_US;
  private static final long END_US = 40 * SECOND_US;
  private static final long PARTITION_START_US = 20 * SECOND_US;
  private static final long PARTITION_END_US = 30 * SECOND_US;
  private static final long RULE_FALSE_FROM_US = 24 * SECOND_US;
  private static final long CONVERGENCE_US = 2 * SECOND_US;
  private static final long GOSSIP_INTERVAL_US = 200_000;
  private static final int GOSSIP_FANOUT = 2;
  private static final long DEADLINE_US = 3 * SECOND_US;
  private static final long MIN_FETCH_US = 20_000;
  private static final long MAX_FETCH_US = 60_000;
  private static final long MIN_MESSAGE_US = 1000;
  private static final long MESSAGE_JITTER_US = 2000;
  private static final int REPLICAS = 2;

  /** Mean seconds between changes of a shard's data if its stores report the generation. */
  private static final double STATED_CHANGE_S = 5;

  /** Mean seconds between changes of a shard's data if its stores do not report the generation. */
  private static final double UNSTATED_CHANGE_S = 60;

  /** On average, one in {@code BOUND_ODDS} runs exceeds the bound of wrong answers. */
  private static final double BOUND_ODDS = 1000;

  private final Setup setup;
  private final SplittableRandom random;
  private final EventQueue events = new EventQueue();
  private final List<SimulatedBroker> brokers = new ArrayList<>();
  private final Workload workload = new Workload();
  private final ShardData data = new ShardData();
  private final FetchHistory fetchHistory = new FetchHistory();
  private final Histogram latencies = new Histogram(60 * SECOND_US, 3);
  private boolean partitioned;
  private long countedQueries;
  private long fetches;
  private long repeatedFetches;
  private long wrongAnswers;
  private long outdatedAnswers;
  private long endedQueries;
  private long startedQueries;
  private long lateEnds;
  private long answersAcrossLanguages;
  private long trialsBefore;
  private long demotedAfterUs = -1;

  /** Creates a simulation at time 0. */
  public AnswerKeySimulation(Setup setup) {
    this.setup = setup;
    random = new SplittableRandom(setup.seed());
  }

  long nowUs() {
    return events.nowUs();
  }

  void schedule(long atUs, Runnable task) {
    events.schedule(atUs, task);
  }

  SimulatedBroker randomBroker() {
    return brokers.get(random.nextInt(brokers.size()));
  }

  /** Returns true with a probability of {@code factor} times the probability of message loss. */
  boolean drawsLoss(int factor) {
    return random.nextDouble() < setup.loss() * factor;
  }

  private long afterExponentialDelay(double meanUs) {
    return nowUs() + 1 + (long) (-Math.log(1 - random.nextDouble()) * meanUs);
  }

  /** Runs the simulation to its end. Must be called only once. */
  public Result run() {
    startBrokers();
    for (int shard = 0; shard < Workload.SHARDS; shard++) {
      scheduleDataChange(shard);
    }
    scheduleFaults();
    schedule(COUNTED_FROM_US, () -> trialsBefore = trials());
    schedule(afterExponentialDelay(SECOND_US / setup.perSecond()), this::startQuery);
    events.runUntil(END_US + 2 * DEADLINE_US);
    double acrossLanguagesPerSecond =
        answersAcrossLanguages / ((RULE_FALSE_FROM_US - COUNTED_FROM_US) / 1e6);
    return new Result(
        countedQueries,
        fetches,
        trials() - trialsBefore,
        repeatedFetches,
        wrongAnswers,
        outdatedAnswers,
        startedQueries - endedQueries + lateEnds,
        wrongAnswersBound(acrossLanguagesPerSecond),
        demotedAfterUs,
        latencies.getValueAtPercentile(50),
        latencies.getValueAtPercentile(99),
        states());
  }

  private void startBrokers() {
    for (int i = 0; i < setup.brokers(); i++) {
      brokers.add(new SimulatedBroker(this, setup, i));
    }
    for (SimulatedBroker broker : brokers) {
      for (int shard = 0; shard < Workload.SHARDS; shard++) {
        for (int replica = 0; replica < REPLICAS; replica++) {
          broker.module.addStore(storeName(shard, replica), 0);
        }
      }
      schedule(random.nextLong(GOSSIP_INTERVAL_US), () -> gossipPeriodically(broker));
    }
    updateMembers(false);
  }

  private static String storeName(int shard, int replica) {
    return "s" + shard + "-" + replica;
  }

  private void scheduleFaults() {
    if (setup.partitioned()) {
      schedule(PARTITION_START_US, () -> partitioned = true);
      schedule(PARTITION_START_US + CONVERGENCE_US, () -> updateMembers(true));
      schedule(PARTITION_END_US, () -> partitioned = false);
      schedule(PARTITION_END_US + CONVERGENCE_US, () -> updateMembers(false));
    }
    if (setup.ruleBecomesFalse()) {
      schedule(RULE_FALSE_FROM_US, () -> data.startDependingOnLanguage(nowUs()));
    }
  }

  /**
   * Returns the upper bound of wrong answers, which docs/answer-keys.md derives. A trial is a query
   * that is sent to a store to test a rule. The bound is the sum of two terms. The first is the
   * number of wrong answers until a trial detects the incorrect rule. During a partition, this term
   * is doubled, because each side must detect the incorrect rule itself. The second is the number
   * of queries that receive an answer in another language while the result of that trial spreads to
   * all brokers.
   */
  private double wrongAnswersBound(double acrossLanguagesPerSecond) {
    int sides = setup.partitioned() ? 2 : 1;
    double verdicts = 0.5 * Math.exp(-SimulatedBroker.MAX_AGE_US / 1e6 / STATED_CHANGE_S);
    double convergenceS =
        (Math.ceil(Math.log(setup.brokers()) / Math.log(2)) + 2) * GOSSIP_INTERVAL_US / 1e6;
    return sides * Math.log(BOUND_ODDS) / (SimulatedBroker.SETTINGS.trialShare() * verdicts)
        + acrossLanguagesPerSecond * (convergenceS + MAX_FETCH_US / 1e6);
  }

  private long trials() {
    return brokers.stream()
        .mapToLong(broker -> broker.module.counters().getOrDefault(AnswerKeyCounter.TRIALS, 0L))
        .sum();
  }

  /** Returns, as text, the number of brokers for each rule and rule state. */
  private String states() {
    Map<String, Integer> states = new TreeMap<>();
    brokers.stream()
        .flatMap(broker -> broker.module.lifecycle().statuses().stream())
        .map(
            status ->
                status.ruleEpoch().rule() + " " + status.state().name().toLowerCase(Locale.ROOT))
        .forEach(state -> states.merge(state, 1, Integer::sum));
    return states.toString();
  }

  private void updateMembers(boolean bySide) {
    for (SimulatedBroker broker : brokers) {
      List<String> members =
          brokers.stream()
              .filter(other -> !bySide || other.side == broker.side)
              .map(other -> other.name)
              .toList();
      broker.perform(broker.module.updateMembers(nowUs(), members));
    }
  }

  private void gossipPeriodically(SimulatedBroker broker) {
    broker.gossip(GOSSIP_FANOUT);
    if (setup.ruleBecomesFalse()
        && nowUs() > RULE_FALSE_FROM_US
        && demotedAfterUs < 0
        && brokers.stream().allMatch(SimulatedBroker::hasDemotedLanguageRule)) {
      demotedAfterUs = nowUs() - RULE_FALSE_FROM_US;
    }
    if (nowUs() < END_US) {
      schedule(nowUs() + GOSSIP_INTERVAL_US, () -> gossipPeriodically(broker));
    }
  }

  private void scheduleDataChange(int shard) {
    double meanS = ShardData.statesGeneration(shard) ? STATED_CHANGE_S : UNSTATED_CHANGE_S;
    schedule(
        afterExponentialDelay(meanS * SECOND_US),
        () -> {
          data.startGeneration(nowUs(), shard);
          scheduleDataChange(shard);
        });
  }

  /**
   * Sends a message, which arrives after a random delay. The message may be lost or duplicated, and
   * a partition drops it.
   */
  void send(SimulatedBroker sender, String receiverName, Message message) {
    SimulatedBroker receiver = brokers.get(Integer.parseInt(receiverName.substring(1)));
    int copies = drawCopies();
    for (int i = 0; i < copies; i++) {
      schedule(
          nowUs() + MIN_MESSAGE_US + random.nextLong(MESSAGE_JITTER_US),
          () -> {
            if (!partitioned || sender.side == receiver.side) {
              receiver.perform(message.deliverTo(receiver));
            }
          });
    }
  }

  private int drawCopies() {
    if (random.nextDouble() < setup.loss()) {
      return 0;
    }
    return random.nextDouble() < setup.loss() ? 2 : 1;
  }

  private static boolean isCounted(long momentUs) {
    return momentUs >= COUNTED_FROM_US;
  }

  private void startQuery() {
    SimulatedBroker broker = randomBroker();
    SimulatedQuery query = new SimulatedQuery(broker, workload.next(random), nowUs());
    startedQueries++;
    countedQueries += isCounted(nowUs()) ? 1 : 0;
    long id = startedQueries;
    broker.addQuery(id, query);
    if (setup.mode() == Mode.NONE) {
      bypass(broker, id);
    } else {
      broker.perform(broker.module.onQuery(nowUs(), id, query.part(), nowUs() + DEADLINE_US));
    }
    if (nowUs() < END_US) {
      schedule(afterExponentialDelay(SECOND_US / setup.perSecond()), this::startQuery);
    }
  }

  /**
   * Records that a query starts a fetch as its leader. Other queries may share the fetched answer.
   */
  void recordLeader(SimulatedQuery query) {
    long generation = data.generation(query.part().shard());
    boolean repeated = fetchHistory.recordLeader(nowUs(), query.identity(), generation);
    repeatedFetches += isCounted(nowUs()) && repeated ? 1 : 0;
  }

  /** Sends a query to a store without sharing the answer. */
  void bypass(SimulatedBroker broker, long id) {
    SimulatedQuery query = broker.query(id);
    long requestedUs = nowUs();
    requestFromStore(
        query,
        answer -> {
          List<Action> actions =
              answer == null || setup.mode() == Mode.NONE
                  ? List.of()
                  : broker.module.onBypassAnswered(nowUs(), query.part(), answer, requestedUs);
          end(query);
          broker.perform(actions);
        });
  }

  /** Sends a query to a store as the leader of a fetch. */
  void fetch(SimulatedBroker broker, long id, long fetchId) {
    SimulatedQuery query = broker.query(id);
    requestFromStore(
        query,
        answer -> {
          if (answer == null) {
            end(query);
            broker.perform(broker.module.onFetchFailed(nowUs(), fetchId, 1));
            return;
          }
          fetchHistory.recordAnswer(query.identity(), data.generation(query.part().shard()));
          List<Action> actions = broker.module.onFetchSucceeded(nowUs(), fetchId, answer);
          end(query);
          broker.perform(actions);
        });
  }

  /**
   * Sends a query to a random replica. Passes the replica's answer to the consumer after a random
   * delay, or null if the request fails.
   */
  private void requestFromStore(SimulatedQuery query, Consumer<StoreAnswer> consumer) {
    fetches += isCounted(nowUs()) && nowUs() < END_US ? 1 : 0;
    String store = storeName(query.part().shard(), random.nextInt(REPLICAS));
    schedule(
        nowUs() + MIN_FETCH_US + random.nextLong(MAX_FETCH_US - MIN_FETCH_US),
        () -> {
          boolean fails = random.nextDouble() < setup.failureProbability();
          consumer.accept(fails ? null : data.answer(store, query.request));
        });
  }

  /**
   * Answers a query with an answer that may have been fetched for another query; counts the answer
   * if it is wrong or outdated.
   */
  void respond(SimulatedQuery query, CachedAnswer cached) {
    wrongAnswers += ShardData.isWrong(cached, query.request) ? 1 : 0;
    long oldestUs = nowUs() - SimulatedBroker.MAX_AGE_US;
    outdatedAnswers += data.endedBefore(cached, query.part().shard(), oldestUs) ? 1 : 0;
    String language = query.part().variants().get("language");
    boolean sameLanguage = language.equals(cached.fetchedFor().variants().get("language"));
    boolean ruleIsTrue = nowUs() < RULE_FALSE_FROM_US;
    answersAcrossLanguages += isCounted(nowUs()) && ruleIsTrue && !sameLanguage ? 1 : 0;
    end(query);
  }

  /** Ends a query, with or without an answer. */
  void end(SimulatedQuery query) {
    if (query.ends++ == 0) {
      endedQueries++;
    } else {
      lateEnds++;
    }
    lateEnds += nowUs() > query.startedUs + DEADLINE_US + 1 ? 1 : 0;
    if (isCounted(query.startedUs)) {
      latencies.recordValue(Math.max(1, nowUs() - query.startedUs));
    }
  }
}

package dunlinhitch.scoring;

import dunlinhitch.scoring.api.Candidate;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.FleetWeight;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.ScoringApi;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The rounds of one scorer at one broker: collects its input, validates and damps its output, and
 * replicates its weights.
 *
 * <p>Uses no clock, I/O or threads. Not thread-safe; the caller owns it and passes the time: {@code
 * nowUs} of a monotonic clock and {@code wallClockUs} of the wall clock, both in microseconds.
 */
public final class Scoring {
  /**
   * A query class.
   *
   * @param latencyObjectiveUs its latency objective in microseconds
   */
  public record QueryClass(String name, long latencyObjectiveUs) {}

  /** The shortest interval between rounds as a fraction of the mean interval. */
  private static final double MIN_ROUND_SHARE = 0.8;

  /** The maximum random part of an interval between rounds as a fraction of the mean interval. */
  private static final double ROUND_JITTER = 0.4;

  private final ScorerIdentity scorer;
  private final ScoringSettings settings;
  private final List<QueryClass> queryClasses;
  private final SplittableRandom random;
  private final FactorDamping damping;
  private final SharedWeights weights;
  private final Map<WeightTarget, TargetState> states = new HashMap<>();
  private Map<Integer, EndpointSnapshot> endpoints = new TreeMap<>();
  private FactorTable factors = FactorTable.NONE;

  /**
   * Creates the state of a scorer before its first round.
   *
   * @param self name of this broker
   * @param seed seed of all random choices
   */
  public Scoring(
      String self,
      ScorerIdentity scorer,
      ScoringSettings settings,
      List<QueryClass> queryClasses,
      long seed) {
    this.scorer = scorer;
    this.settings = settings;
    this.queryClasses = List.copyOf(queryClasses);
    random = new SplittableRandom(seed);
    damping = new FactorDamping(settings.damping(), random);
    weights = new SharedWeights(self, scorer, settings.weights());
  }

  /** The identity of the scorer. */
  public ScorerIdentity scorer() {
    return scorer;
  }

  /** The replicated weights of the scorer. */
  public SharedWeights weights() {
    return weights;
  }

  /**
   * Replaces the endpoints; the state of removed endpoints and of earlier incarnations is
   * discarded.
   */
  public void updateEndpoints(List<EndpointSnapshot> snapshots) {
    Map<Integer, EndpointSnapshot> byServer = new TreeMap<>();
    for (EndpointSnapshot endpoint : snapshots) {
      byServer.put(endpoint.server(), endpoint);
    }
    Map<String, Long> incarnations = incarnations(snapshots);
    states
        .entrySet()
        .removeIf(
            entry ->
                !Long.valueOf(entry.getValue().startedMs())
                    .equals(incarnations.get(entry.getKey().store())));
    endpoints = byServer;
  }

  private static Map<String, Long> incarnations(Iterable<EndpointSnapshot> snapshots) {
    Map<String, Long> incarnations = new HashMap<>();
    for (EndpointSnapshot endpoint : snapshots) {
      incarnations.put(endpoint.endpoint(), endpoint.startedMs());
    }
    return incarnations;
  }

  /**
   * Records a completed attempt. Only the latest attempts of a round are retained. An attempt that
   * was sent to an earlier incarnation of the endpoint is ignored.
   */
  public void onAttemptCompleted(String store, int queryClass, Ending attempt) {
    TargetState state = states.get(new WeightTarget(store, queryClasses.get(queryClass).name()));
    if (state != null) {
      state.add(attempt, settings.maxAttemptsPerRound());
    }
  }

  /**
   * Returns the scorer's input: one round for each query class. The retained attempts are moved
   * into these rounds.
   */
  public List<Round> rounds(long nowUs, long wallClockUs) {
    Map<WeightTarget, FleetWeight> merged =
        weights.merged(wallClockUs, incarnations(endpoints.values()));
    List<Round> rounds = new ArrayList<>();
    for (QueryClass queryClass : queryClasses) {
      List<Candidate> candidates = new ArrayList<>();
      for (EndpointSnapshot endpoint : endpoints.values()) {
        WeightTarget target = new WeightTarget(endpoint.endpoint(), queryClass.name());
        TargetState state =
            states.computeIfAbsent(target, key -> new TargetState(endpoint.startedMs(), nowUs));
        candidates.add(
            candidate(
                endpoint,
                state.drain(nowUs, settings.weights()),
                merged.getOrDefault(target, FleetWeight.NONE)));
      }
      rounds.add(new Round(nowUs, queryClass.name(), queryClass.latencyObjectiveUs(), candidates));
    }
    return rounds;
  }

  private static Candidate candidate(
      EndpointSnapshot endpoint, List<Ending> attempts, FleetWeight fleetWeight) {
    return new Candidate(
        endpoint.endpoint(),
        endpoint.cell(),
        endpoint.zone(),
        endpoint.near(),
        endpoint.slowStartWeight(),
        endpoint.startedMs(),
        endpoint.outstandingWorkUs(),
        endpoint.loadReport(),
        endpoint.reportAgeUs(),
        attempts,
        fleetWeight);
  }

  /**
   * Applies the scorer's output for these rounds: factors move by one damped step and weights are
   * replicated. If any of it is invalid, none of it is applied.
   *
   * @return a description of the first problem, or an empty string
   */
  public String applyJudgements(
      long wallClockUs, List<Round> rounds, List<List<Judgement>> judgements) {
    String problem = JudgementValidator.findProblem(rounds, judgements);
    if (!problem.isEmpty()) {
      return problem;
    }
    Map<WeightTarget, Double> factorByTarget = new HashMap<>();
    for (int index = 0; index < rounds.size(); index++) {
      apply(wallClockUs, rounds.get(index), judgements.get(index), factorByTarget);
    }
    factors = buildTable(factorByTarget);
    return "";
  }

  private void apply(
      long wallClockUs,
      Round round,
      List<Judgement> judgements,
      Map<WeightTarget, Double> factorByTarget) {
    for (int index = 0; index < round.candidates().size(); index++) {
      Candidate candidate = round.candidates().get(index);
      WeightTarget target = new WeightTarget(candidate.store(), round.queryClass());
      TargetState state = states.get(target);
      if (state != null && state.startedMs() == candidate.startedMs()) {
        apply(wallClockUs, target, state, judgements.get(index));
        factorByTarget.put(target, damping.factor(target, state.logFactor()));
      }
    }
  }

  private void apply(
      long wallClockUs, WeightTarget target, TargetState state, Judgement judgement) {
    state.moveFactor(Math.log(clamp(judgement.factor())), damping);
    double maxEvidence = Math.min(state.shownEvidence(), settings.weights().maxEvidence());
    double evidence = Math.min(judgement.evidence(), maxEvidence);
    weights.recordOwn(
        wallClockUs, target, new Weight(clamp(judgement.weight()), evidence, state.startedMs()));
  }

  private FactorTable buildTable(Map<WeightTarget, Double> factorByTarget) {
    int rows = endpoints.keySet().stream().mapToInt(server -> server + 1).max().orElse(0);
    int columns = queryClasses.size();
    double[] values = new double[rows * columns];
    Arrays.fill(values, 1);
    endpoints.forEach(
        (server, endpoint) -> {
          for (int column = 0; column < columns; column++) {
            values[server * columns + column] =
                factorByTarget.getOrDefault(
                    new WeightTarget(endpoint.endpoint(), queryClasses.get(column).name()), 1.0);
          }
        });
    return new FactorTable(columns, values);
  }

  /** Limits a factor to the bounds of the interface; NaN stays NaN. */
  static double clamp(double factor) {
    return Math.max(ScoringApi.LEAST_FACTOR, Math.min(ScoringApi.MOST_FACTOR, factor));
  }

  /** The factors after the last valid round. */
  public FactorTable factors() {
    return factors;
  }

  /**
   * Returns the time at which the next round is due, with jitter so that brokers do not synchronize
   * their rounds.
   */
  public long nextRoundUs(long nowUs) {
    return nowUs
        + (long) (settings.roundUs() * (MIN_ROUND_SHARE + ROUND_JITTER * random.nextDouble()));
  }
}

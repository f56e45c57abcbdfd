package dunlinhitch.scoring.host;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.CircuitBreaker;
import dunlinhitch.scoring.EjectionNotices;
import dunlinhitch.scoring.FactorTable;
import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.ScorerSettings;
import dunlinhitch.scoring.Scoring;
import dunlinhitch.scoring.Weight;
import dunlinhitch.scoring.WeightKey;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.Scorer;
import java.util.ArrayList;
import java.util.List;

/**
 * Loads a scorer, calls it for each round, and ejects it if it fails.
 *
 * <p>Not thread-safe: {@link #run} and all messages of the mailbox run on the supervisor thread,
 * which owns the state. Only {@link #close} may be called on any thread.
 */
final class ScorerSupervisor {
  private static final long NEVER = Long.MAX_VALUE / 2;

  /** A scorer that is being loaded while the active one continues. */
  private record PendingLoad(
      ScorerThread thread, ScorerCall<LoadedScorer> call, LoadedScorer activeAtStart) {}

  /** Rounds whose judgements have not arrived. */
  private record PendingRound(List<Round> rounds, ScorerCall<List<List<Judgement>>> call) {}

  private final HostConfiguration configuration;
  private final HostLimits limits;
  private final HostEnvironment environment;
  private final Mailbox mailbox;
  private final SharedState sharedState;
  private final EjectionNotices ejectionNotices;
  private final CircuitBreaker circuitBreaker;
  private final StatePublisher publisher;

  /** Threads of released scorers that have not ended yet. */
  private final List<ScorerThread> releasedThreads = new ArrayList<>();

  private volatile boolean closed;
  private ScorerSettings settings;

  /** The active scorer and its thread; both null if there is none. */
  private LoadedScorer active;

  private ScorerThread activeThread;

  /** State of the rounds; kept across reloads as long as the identity of the scorer is the same. */
  private Scoring scoring;

  private PendingRound pendingRound;
  private PendingLoad pendingLoad;
  private boolean reloadRequested = true;
  private long nextActionUs;

  /** Memory in bytes that the active scorer has allocated in rounds. */
  private long allocatedBytes;

  ScorerSupervisor(
      HostConfiguration configuration,
      HostEnvironment environment,
      Mailbox mailbox,
      SharedState sharedState) {
    this.configuration = configuration;
    this.environment = environment;
    this.mailbox = mailbox;
    this.sharedState = sharedState;
    limits = configuration.limits();
    settings = configuration.scorer();
    ejectionNotices = new EjectionNotices(configuration.self());
    circuitBreaker = new CircuitBreaker(limits.circuitBreaker(), configuration.seed());
    publisher = new StatePublisher(sharedState, mailbox, ejectionNotices, circuitBreaker);
  }

  /**
   * Runs the loop of the supervisor thread. It returns once {@link #close} has been called and the
   * thread has been interrupted.
   */
  void run() {
    try {
      while (!closed) {
        Runnable message = mailbox.poll(Math.max(0, nextDeadlineUs() - nowUs()));
        if (message != null) {
          message.run();
        }
        onTimer(nowUs());
      }
    } catch (InterruptedException e) {
      // interrupted by the caller of close
    } finally {
      sharedState.setFactors(FactorTable.NONE);
      release();
      if (pendingLoad != null) {
        pendingLoad.thread.abandon();
      }
    }
  }

  /** Ends the loop; the caller interrupts the thread. */
  void close() {
    closed = true;
  }

  void onAttemptCompleted(String store, int queryClass, Ending attempt) {
    if (scoring != null) {
      scoring.onAttemptCompleted(store, queryClass, attempt);
    }
  }

  void onWeightReceived(ReplicatedEntry<WeightKey, Weight> weight) {
    if (scoring != null) {
      scoring.weights().merge(wallClockUs(), weight);
    }
  }

  void onEjectionNoticeReceived(ReplicatedEntry<ScorerIdentity, Failure> notice) {
    ejectionNotices.merge(wallClockUs(), notice);
  }

  void onReload(ScorerSettings newSettings) {
    settings = newSettings;
    reloadRequested = true;
    circuitBreaker.reset();
  }

  private long nowUs() {
    return environment.nowUs().getAsLong();
  }

  private long wallClockUs() {
    return environment.wallClockUs().getAsLong();
  }

  private long nextDeadlineUs() {
    long deadlineUs = NEVER;
    if (pendingRound != null) {
      deadlineUs = Math.min(deadlineUs, pendingRound.call.deadlineUs());
    }
    if (pendingLoad != null) {
      deadlineUs = Math.min(deadlineUs, pendingLoad.call.deadlineUs());
    }
    if (isRoundWanted()) {
      deadlineUs = Math.min(deadlineUs, nextActionUs);
    }
    if (isLoadWanted()) {
      deadlineUs = Math.min(deadlineUs, Math.max(nextActionUs, circuitBreaker.retryAtUs()));
    }
    return deadlineUs;
  }

  private boolean isRoundWanted() {
    return active != null && pendingRound == null;
  }

  private boolean isLoadWanted() {
    return pendingLoad == null && pendingRound == null && (active == null || reloadRequested);
  }

  private void onTimer(long nowUs) {
    if (pendingRound != null && nowUs >= pendingRound.call.deadlineUs()) {
      onRoundTimeout(nowUs);
    }
    if (pendingLoad != null && nowUs >= pendingLoad.call.deadlineUs()) {
      onLoadTimeout(nowUs);
    }
    releasedThreads.removeIf(thread -> !thread.isAlive());
    if (isLoadWanted() && nowUs >= nextActionUs && circuitBreaker.allowsRequest(nowUs)) {
      nextActionUs = nextRoundUs(nowUs);
      if (releasedThreads.size() < limits.maxAbandonedThreads()) {
        startLoad(nowUs);
      }
    } else if (isRoundWanted() && nowUs >= nextActionUs) {
      nextActionUs = nextRoundUs(nowUs);
      startRound(nowUs);
    }
  }

  private long nextRoundUs(long nowUs) {
    return scoring != null
        ? scoring.nextRoundUs(nowUs)
        : nowUs + configuration.roundSettings().roundUs();
  }

  private void onRoundTimeout(long nowUs) {
    pendingRound = null;
    releasedThreads.add(activeThread);
    activeThread.abandon();
    activeThread = null;
    eject(
        nowUs,
        Failure.NEVER_RETURNS,
        "a round did not complete within " + limits.round().timeoutUs() + " µs");
  }

  private void onLoadTimeout(long nowUs) {
    ScorerThread thread = pendingLoad.thread;
    pendingLoad = null;
    releasedThreads.add(thread);
    thread.abandon();
    onLoadFailure(
        nowUs,
        Failure.NEVER_RETURNS,
        "loading did not complete within " + limits.loadTimeoutUs() + " µs");
  }

  private void startLoad(long nowUs) {
    reloadRequested = false;
    ScorerCall<LoadedScorer> call =
        new ScorerCall<>(
            nowUs + limits.loadTimeoutUs(), Failure.WILL_NOT_LOAD, new LoadTask(settings, active));
    ScorerThread thread =
        new ScorerThread(
            settings.name(), completed -> mailbox.add(() -> onCallCompleted(completed)));
    pendingLoad = new PendingLoad(thread, call, active);
    thread.submit(call);
  }

  private void startRound(long nowUs) {
    scoring.updateEndpoints(sharedState.endpoints());
    List<Round> rounds = scoring.rounds(nowUs, wallClockUs());
    ScorerCall<List<List<Judgement>>> call =
        new ScorerCall<>(
            nowUs + limits.round().timeoutUs(),
            Failure.THROWS,
            new RoundTask(active.scorer(), rounds));
    pendingRound = new PendingRound(rounds, call);
    activeThread.submit(call);
  }

  /**
   * Handles a completed call. A call that is no longer pending has timed out or belongs to a
   * released scorer and is ignored.
   */
  private void onCallCompleted(ScorerCall<?> call) {
    long nowUs = nowUs();
    if (pendingRound != null && call == pendingRound.call) {
      PendingRound completed = pendingRound;
      pendingRound = null;
      onRoundCompleted(nowUs, completed);
    } else if (pendingLoad != null && call == pendingLoad.call) {
      PendingLoad completed = pendingLoad;
      pendingLoad = null;
      onLoadCompleted(nowUs, completed);
    }
  }

  private void onRoundCompleted(long nowUs, PendingRound round) {
    ScorerCall<List<List<Judgement>>> call = round.call;
    allocatedBytes += call.allocatedBytes();
    publisher.onRoundCompleted(call.cpuTimeUs());
    long wallClockUs = wallClockUs();
    boolean slow = call.cpuTimeUs() > limits.round().cpuTimeUs();
    if (call.failure() != null) {
      eject(nowUs, call.failure(), call.reason());
    } else if (call.allocatedBytes() > limits.round().allocatedBytes()) {
      eject(nowUs, Failure.HOLDS_MEMORY, call.allocatedBytes() + " bytes allocated in one round");
    } else if (allocatedBytes > limits.round().allocatedBytes()
        && environment.isHeapNearlyFull().getAsBoolean()) {
      eject(
          nowUs,
          Failure.HOLDS_MEMORY,
          "the heap is nearly full and the scorer has allocated "
              + allocatedBytes
              + " bytes since it was loaded");
    } else if (slow && circuitBreaker.onSlowRound()) {
      eject(
          nowUs,
          Failure.SLOW,
          "a round used " + call.cpuTimeUs() + " µs of processor time, after earlier slow rounds");
    } else {
      String problem = scoring.applyJudgements(wallClockUs, round.rounds, call.result());
      if (problem.isEmpty()) {
        onValidRound(slow);
      } else {
        eject(nowUs, Failure.NONSENSE, problem);
      }
    }
  }

  private void onValidRound(boolean slow) {
    publisher.onValidRound();
    sharedState.setFactors(scoring.factors());
    if (!slow) {
      circuitBreaker.onSuccess();
    }
    publish();
  }

  @SuppressWarnings("ReferenceEquality") // LoadTask returns the same object if nothing changed
  private void onLoadCompleted(long nowUs, PendingLoad load) {
    ScorerCall<LoadedScorer> call = load.call;
    boolean unchanged = call.failure() == null && call.result() == load.activeAtStart;
    if (call.failure() != null || unchanged) {
      load.thread.shutdown();
      releasedThreads.add(load.thread);
      if (call.failure() != null) {
        onLoadFailure(nowUs, call.failure(), call.reason());
      }
      return;
    }
    release();
    active = call.result();
    activeThread = load.thread;
    if (scoring == null || !scoring.scorer().equals(active.identity())) {
      replaceScoring(active.identity());
    }
    environment
        .log()
        .accept(
            "scorer "
                + active.identity().name()
                + " version "
                + active.identity().version()
                + " is active");
    publish();
  }

  private void replaceScoring(ScorerIdentity identity) {
    if (scoring != null) {
      publisher.onWeightsReplaced(scoring.weights().version());
    }
    scoring =
        new Scoring(
            configuration.self(),
            identity,
            configuration.roundSettings(),
            configuration.queryClasses(),
            configuration.seed());
    sharedState.setFactors(FactorTable.NONE);
  }

  /** Records the failure; the active scorer continues unless its jar was removed. */
  private void onLoadFailure(long nowUs, Failure failure, String reason) {
    if (failure == Failure.NOT_THERE) {
      sharedState.setFactors(FactorTable.NONE);
      release();
    }
    circuitBreaker.onFailure(nowUs, failure, reason, 0);
    environment.log().accept(circuitBreaker.describe(settings.name()));
    publish();
  }

  private void eject(long nowUs, Failure failure, String reason) {
    long wallClockUs = wallClockUs();
    sharedState.setFactors(FactorTable.NONE);
    ejectionNotices.recordOwn(wallClockUs, active.identity(), failure);
    circuitBreaker.onFailure(
        nowUs, failure, reason, ejectionNotices.otherEjections(wallClockUs, active.identity()));
    release();
    environment.log().accept(circuitBreaker.describe(settings.name()));
    publish();
  }

  /**
   * Drops all references to classes of the active scorer. The scorer's own thread closes the scorer
   * and then ends. Has no effect if there is no active scorer.
   */
  private void release() {
    if (activeThread != null) {
      Scorer scorer = active.scorer();
      activeThread.submit(
          new ScorerCall<Void>(
              0,
              Failure.THROWS,
              () -> {
                scorer.close();
                return null;
              }));
      activeThread.shutdown();
      releasedThreads.add(activeThread);
    }
    activeThread = null;
    active = null;
    pendingRound = null;
    allocatedBytes = 0;
  }

  private void publish() {
    publisher.publish(
        settings.name(),
        active == null ? null : active.identity(),
        scoring,
        releasedThreads.size());
  }
}

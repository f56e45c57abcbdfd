package dunlinhitch.scoring;

import dunlinhitch.scoring.api.Ending;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The state of one endpoint and query class that a broker keeps between rounds. */
final class TargetState {
  /** Incarnation of the endpoint: its start in Unix milliseconds. */
  private final long startedMs;

  /** When this state was created; attempts sent before belong to an earlier incarnation. */
  private final long createdUs;

  private final Deque<Ending> completedAttempts = new ArrayDeque<>();

  /**
   * Decayed number of attempts shown to the scorer; the evidence of the scorer's weight is limited
   * to this number.
   */
  private double shownEvidence;

  private long decayedAtUs;
  private double logFactor;
  private boolean hasFactor;

  TargetState(long startedMs, long createdUs) {
    this.startedMs = startedMs;
    this.createdUs = createdUs;
  }

  long startedMs() {
    return startedMs;
  }

  double shownEvidence() {
    return shownEvidence;
  }

  double logFactor() {
    return logFactor;
  }

  /** Adds a completed attempt; if there are more than {@code limit}, the earliest is discarded. */
  void add(Ending attempt, int limit) {
    if (attempt.atUs() - attempt.tookUs() < createdUs) {
      return;
    }
    completedAttempts.addLast(attempt);
    if (completedAttempts.size() > limit) {
      completedAttempts.removeFirst();
    }
  }

  /** Removes and returns the attempts completed since the last round, and counts them as shown. */
  List<Ending> drain(long nowUs, WeightMergeSettings settings) {
    shownEvidence = settings.decayed(shownEvidence, nowUs - decayedAtUs) + completedAttempts.size();
    decayedAtUs = nowUs;
    List<Ending> drained = List.copyOf(completedAttempts);
    completedAttempts.clear();
    return drained;
  }

  /**
   * Moves the factor towards the target. The first target is applied without damping, because the
   * cluster has already converged on it.
   */
  void moveFactor(double targetLog, FactorDamping damping) {
    logFactor = hasFactor ? damping.next(logFactor, targetLog) : targetLog;
    hasFactor = true;
  }
}

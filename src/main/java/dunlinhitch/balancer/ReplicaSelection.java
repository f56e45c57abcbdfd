package dunlinhitch.balancer;

/**
 * Selects the server for an attempt: the replica of the part's shard with the least predicted
 * outstanding work, after Graham's least-loaded rule.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class ReplicaSelection {
  /** Work that is equivalent to a cross-zone price of 1, as a multiple of the latency objective. */
  private static final double CROSS_ZONE_OBJECTIVES = 5;

  /** Random fraction that is added to a score, so that brokers break ties differently. */
  private static final double TIE_BREAK_SHARE = 0.001;

  /**
   * Passes of a selection, run in this order until a server is selected. Each pass admits more
   * servers than the previous one.
   */
  private enum Pass {
    NOT_YET_ATTEMPTED,
    ANY_READY,
    DRAINING_TOO;

    static final Pass[] IN_ORDER = values();
  }

  private final BalancerContext context;
  private final Estimators estimators;

  ReplicaSelection(BalancerContext context, Estimators estimators) {
    this.context = context;
    this.estimators = estimators;
  }

  /** The best replica for the part's next attempt, or null if none is eligible. */
  Server select(Part part) {
    Server selected = null;
    for (Pass pass : Pass.IN_ORDER) {
      if (selected == null) {
        selected = select(part, pass);
      }
    }
    return selected;
  }

  private Server select(Part part, Pass pass) {
    Server best = null;
    double lowestScore = 0;
    for (Server server : context.servers().replicasOf(part.shard, context.settings().layout())) {
      if (!isCandidate(server, part, pass)) {
        continue;
      }
      if (server.trialDueUs > 0 && context.nowUs() >= server.trialDueUs) {
        // A trial part is sent regardless of the score: the server is in slow start and has no load
        // report, so servers with little load would have better scores.
        return server;
      }
      double tieBreak = 1 + TIE_BREAK_SHARE * context.random().nextDouble();
      double score = score(server, part) * tieBreak;
      if (best == null || score < lowestScore) {
        best = server;
        lowestScore = score;
      }
    }
    return best;
  }

  private boolean isCandidate(Server server, Part part, Pass pass) {
    if (pass == Pass.NOT_YET_ATTEMPTED && part.attemptedServers.contains(server)) {
      return false;
    }
    return isEligible(server, pass == Pass.DRAINING_TOO)
        && !part.isInFlightAt(server)
        && estimators.slowStart.admits(server, part);
  }

  /** Whether a server is ready and not disabled by an operator. */
  boolean isReady(Server server) {
    return isEligible(server, false);
  }

  /**
   * A draining server is eligible only if its shard has no other server, and only within the grace
   * period.
   */
  private boolean isEligible(Server server, boolean allowDraining) {
    if (context.servers().isDisabled(server.id)) {
      return false;
    }
    if (server.state == ServerState.READY) {
      return true;
    }
    long graceEndUs = server.stateChangedUs + context.settings().rules().drainGraceUs();
    return allowDraining
        && server.state == ServerState.DRAINING
        && context.nowUs() < graceEndUs - context.answerMarginUs();
  }

  /**
   * Cost of sending the part to a server, in microseconds of work; the server with the lowest score
   * is selected.
   */
  double score(Server server, Part part) {
    double crossZoneUs =
        context.settings().prices().crossZone()
            * CROSS_ZONE_OBJECTIVES
            * part.query.queryClass.latencyObjectiveUs();
    OutstandingWork work = estimators.outstandingWork;
    double loadUs =
        work.atUs(server)
            + estimators.penalties.penaltyUs(server)
            + estimators.serviceTimes.ofPartUs(part)
            + work.callOverheadUs(server);
    LatencyEstimates latencies = estimators.latencies;
    return loadUs / estimators.slowStart.weight(server)
        + latencies.networkLatencyUs(server) / latencies.waitPerWork()
        + (server.zone == context.settings().zone() ? 0 : crossZoneUs);
  }
}

package dunlinhitch.balancer;

/**
 * Detects connections that were dropped silently: if attempts on long-idle connections are lost
 * more often than others, idle connections are closed before a send so that a new one is opened.
 * The cost is one handshake for each close.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class IdleConnections {
  /** Loss rates on idle connections up to this value are attributed to chance. */
  private static final double MIN_LOSS_RATE = 0.1;

  /** Idle connections are closed if their loss rate exceeds that of active ones by this factor. */
  private static final double LOSS_RATE_FACTOR = 2;

  /** Weight of the newest attempt in a loss rate. */
  private static final double LOSS_WEIGHT = 0.05;

  /**
   * Fraction by which each close lowers the idle loss rate, so that idle connections are tried
   * again.
   */
  private static final double DECAY_PER_CLOSE = LOSS_WEIGHT / 10;

  private final BalancerContext context;
  private double idleLossRate;
  private double activeLossRate;

  IdleConnections(BalancerContext context) {
    this.context = context;
  }

  /**
   * Marks an attempt that will be sent on an idle connection. If idle connections lose too many
   * attempts, the attempt is not marked: the idle connections of its server are closed, so that a
   * new connection is opened for it.
   */
  void beforeSend(Attempt attempt) {
    Server server = attempt.server;
    attempt.onIdleConnection =
        server.inFlight.isEmpty()
            && server.lastUsedUs > 0
            && context.nowUs() - server.lastUsedUs > context.shortestObjectiveUs();
    if (attempt.onIdleConnection
        && idleLossRate > MIN_LOSS_RATE
        && idleLossRate > LOSS_RATE_FACTOR * activeLossRate) {
      idleLossRate -= DECAY_PER_CLOSE * idleLossRate;
      attempt.onIdleConnection = false;
      context.actions().closeIdleConnections(server.id);
    }
  }

  void onAnswer(Attempt attempt) {
    update(attempt, 0);
  }

  void onLoss(Attempt attempt) {
    update(attempt, 1);
  }

  private void update(Attempt attempt, int lost) {
    if (attempt.onIdleConnection) {
      idleLossRate += LOSS_WEIGHT * (lost - idleLossRate);
    } else {
      activeLossRate += LOSS_WEIGHT * (lost - activeLossRate);
    }
  }
}

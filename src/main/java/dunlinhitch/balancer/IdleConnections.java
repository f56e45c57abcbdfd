package dunlinhitch.balancer;

/**
 * Detects connections that were dropped without notice: where attempts on connections long unused
 * are lost more often than others, such connections are closed before a send and a new one opens.
 * This is expensive where handshakes are.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class IdleConnections {
  /** Loss rate on idle connections that may still be chance. */
  private static final double MIN_LOSS_RATE = 0.1;

  /** Loss rate on idle connections over that on others, from which on they are closed. */
  private static final double LOSS_RATE_FACTOR = 2;

  /** Weight of the newest attempt in a loss rate. */
  private static final double LOSS_WEIGHT = 0.05;

  /** Share by which the rate falls with each close, so that idle connections are used again. */
  private static final double DECAY_PER_CLOSE = LOSS_WEIGHT / 10;

  private final BalancerContext context;
  private double idleLossRate;
  private double activeLossRate;

  IdleConnections(BalancerContext context) {
    this.context = context;
  }

  /** Marks an attempt that would go over an idle connection, or closes such connections first. */
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

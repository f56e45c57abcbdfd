package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.ServerDisabled;
import dunlinhitch.balancer.BalancerEvent.ServerListUpdated;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Applies updates of the server list and the operators' decisions to disable or enable a server.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class ServerListUpdates {
  /** Upper bound of the random delay before a server that is enabled again gets a trial part. */
  private static final double TRIAL_DELAY_US = 2e6;

  /** The first backoff after a failed poll is {@code pollWithinUs} divided by this number. */
  private static final long BACKOFF_FRACTION = 40;

  /** Consecutive failures after which the backoff is no longer doubled. */
  private static final long MAX_DOUBLINGS = 4;

  private static final long MAX_BACKOFF_US = 60_000_000L;

  private final BalancerContext context;
  private final Estimators estimators;
  private long failedPolls;

  ServerListUpdates(BalancerContext context, Estimators estimators) {
    this.context = context;
    this.estimators = estimators;
  }

  /** Applies a successful update. */
  void apply(ServerListUpdated event) {
    failedPolls = 0;
    Set<Integer> listed = new HashSet<>();
    for (ServerEntry entry : event.servers()) {
      listed.add(entry.id());
      apply(entry);
    }
    boolean replaces = event.kind() != ServerListKind.DELTA;
    Collection<Server> replaced = replaces ? context.servers().values() : List.of();
    for (Server server : replaced) {
      if (!listed.contains(server.id)) {
        setState(server, ServerState.GONE);
      }
    }
    context.servers().removeFinished();
  }

  /** Schedules the next poll after a failed one, with exponential backoff. */
  void onPollFailed() {
    if (!context.settings().mustPollServerList()) {
      return;
    }
    long firstUs =
        Math.max(
            context.settings().tickUs(),
            context.settings().rules().pollWithinUs() / BACKOFF_FRACTION);
    long backoffUs = firstUs << Math.min(failedPolls, MAX_DOUBLINGS);
    failedPolls++;
    long dueUs = context.nowUs() + Math.min(backoffUs, MAX_BACKOFF_US);
    context.actions().scheduleTimer(BalancerTimers.POLL_SERVER_LIST, dueUs);
  }

  /**
   * Disables or enables a server. A server that is enabled again is treated as just started,
   * because earlier estimates may no longer be valid. It soon gets a trial part, so that the
   * operator can see that it works.
   */
  void onDisabled(ServerDisabled event) {
    boolean changed = context.servers().setDisabled(event.server(), event.disabled());
    Server server = context.servers().get(event.server());
    if (!changed || event.disabled() || server == null) {
      return;
    }
    server.resetAsStarted(context.nowUs());
    estimators.slowStart.begin(server);
    long delayUs = (long) (context.random().nextDouble() * TRIAL_DELAY_US);
    server.trialDueUs = context.nowUs() + delayUs;
  }

  private void apply(ServerEntry entry) {
    Server server = context.servers().get(entry.id());
    if (server == null && entry.state() == ServerState.GONE) {
      return;
    }
    if (server == null) {
      double initialPenaltyUs = meanWorkOfServersSharingShards(entry.cell());
      server = context.servers().add(entry.id(), entry.cell());
      estimators.penalties.set(server, initialPenaltyUs);
    }
    if (entry.startedUs() > server.startedUs) {
      estimators.slowStart.begin(server);
    }
    server.startedUs = Math.max(entry.startedUs(), server.enabledUs);
    server.zone = entry.zone();
    context.servers().move(server, entry.cell());
    setState(server, entry.state());
  }

  /**
   * Returns the initial penalty of a new server in the cell: the mean of penalty plus outstanding
   * work over all ready servers that share shards with the cell.
   */
  private double meanWorkOfServersSharingShards(int cell) {
    return context.servers().sharingShards(cell, context.settings().layout()).stream()
        .filter(server -> server.state == ServerState.READY)
        .mapToDouble(
            server -> estimators.penalties.penaltyUs(server) + Math.max(0, server.outstandingUs))
        .average()
        .orElse(0);
  }

  private void setState(Server server, ServerState state) {
    boolean readinessChanges =
        server.state != state && (server.state == ServerState.READY || state == ServerState.READY);
    // Without this condition, a server that was never ready would get a grace period for draining.
    if (readinessChanges) {
      server.stateChangedUs = context.nowUs();
    }
    server.state = state;
    if (state == ServerState.GONE) {
      server.stateChangedUs = Long.MIN_VALUE / 2;
      context.servers().markRemoved(server);
    }
  }
}

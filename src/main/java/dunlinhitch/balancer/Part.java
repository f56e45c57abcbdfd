package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.PartArrived;
import java.util.ArrayList;
import java.util.List;

/**
 * One part of a query: the request to one shard.
 *
 * <p>Not thread-safe; {@link QueryRegistry} owns it.
 */
final class Part {
  final int id;
  final Query query;
  final int shard;
  final double weight;

  /** The client's estimate of the work, 0 for none. */
  final long hintUs;

  /** The step of the query that the part belongs to, 1 or 2. */
  final int step;

  final List<Attempt> inFlight = new ArrayList<>();
  final List<Server> attemptedServers = new ArrayList<>();
  int attemptCount;

  /** Time at which the first attempt that may have had an effect was sent; -1 if there is none. */
  long mayHaveRunUs = -1;

  /**
   * Number of attempts that have ended at the broker but that servers may still be executing.
   * Temporarily negative if the release of an attempt arrives before the event that ends it.
   */
  int unconfirmedAttempts;

  boolean answered;

  /** Whether no further attempt is needed. */
  boolean settled;

  /** Whether an attempt has been requested but cannot be sent yet. */
  boolean requested;

  /** The next time that a late attempt of this part is examined. */
  long nextHedgeUs;

  Part(Query query, PartArrived event) {
    this.id = event.id();
    this.query = query;
    this.shard = event.shard();
    this.weight = Double.isFinite(event.weight()) ? Math.max(0, event.weight()) : 0;
    this.hintUs = event.hintUs();
    this.step = query.step;
    this.unconfirmedAttempts = event.unconfirmedAttempts();
  }

  boolean isInFlightAt(Server server) {
    return inFlight.stream().anyMatch(attempt -> attempt.server == server);
  }

  /** Returns the attempt with the given number if it is in flight, otherwise null. */
  Attempt attempt(int number) {
    for (Attempt attempt : inFlight) {
      if (attempt.number == number) {
        return attempt;
      }
    }
    return null;
  }
}

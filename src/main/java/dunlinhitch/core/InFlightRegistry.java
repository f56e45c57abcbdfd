package dunlinhitch.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of everything in flight, under the numbers that the load balancer uses and the names that
 * the edges use. Owned by the reducer; not thread-safe.
 */
final class InFlightRegistry {
  /** Queries by number, in the order of their arrival. */
  final Map<Integer, InFlightQuery> queries = new LinkedHashMap<>();

  final Map<Long, InFlightQuery> queriesByExchange = new HashMap<>();
  final Map<String, InFlightQuery> queriesById = new HashMap<>();
  final Map<Integer, InFlightPart> parts = new HashMap<>();
  final Map<Long, InFlightAttempt> attempts = new HashMap<>();

  /** The same by key: a part may be closed before its attempts are. */
  private final Map<InFlightAttempt.Key, InFlightAttempt> attemptsByKey = new HashMap<>();

  /** Attempts of open parts that have ended here and that their endpoints may still have. */
  final Map<Long, InFlightAttempt> unconfirmedAttempts = new HashMap<>();

  final Map<Long, PendingHealthCheck> healthChecks = new HashMap<>();
  final Map<Integer, TrackedEndpoint> endpoints = new LinkedHashMap<>();
  final Map<String, TrackedEndpoint> endpointsByName = new HashMap<>();

  /** Parts closed in this turn, whether or not they have attempts in flight. */
  final List<InFlightPart> closedParts = new ArrayList<>();

  /** Increases with every change of the endpoints. */
  long endpointsVersion;

  /**
   * Endpoints that an operator has disabled, and the number that each keeps meanwhile, listed or
   * not.
   */
  final Map<String, Integer> disabledEndpoints = new HashMap<>();

  boolean isDisabled(TrackedEndpoint endpoint) {
    return disabledEndpoints.containsKey(endpoint.name());
  }

  /** Queries and parts in flight, sent or not: what the limit of the settings counts. */
  int size() {
    return queries.size() + parts.size();
  }

  void add(InFlightQuery query) {
    queries.put(query.number, query);
    queriesByExchange.put(query.exchange, query);
    queriesById.put(query.request.id(), query);
  }

  void add(InFlightAttempt attempt) {
    attempts.put(attempt.id(), attempt);
    attemptsByKey.put(attempt.key(), attempt);
  }

  void remove(InFlightAttempt attempt) {
    attempts.remove(attempt.id());
    attemptsByKey.remove(attempt.key());
  }

  /** An attempt of an open part ends here while its endpoint may still have it. */
  void addUnconfirmed(InFlightAttempt attempt) {
    unconfirmedAttempts.put(attempt.id(), attempt);
    attempt.part().unconfirmedAttempts++;
  }

  /** Removes and returns an unconfirmed attempt; null where there is none of that number. */
  InFlightAttempt removeUnconfirmed(long attemptId) {
    InFlightAttempt attempt = unconfirmedAttempts.remove(attemptId);
    if (attempt != null) {
      attempt.part().unconfirmedAttempts--;
    }
    return attempt;
  }

  /** Forgets the unconfirmed attempts of a part that is closed: nothing waits for them any more. */
  void forgetUnconfirmed(InFlightPart part) {
    if (part.unconfirmedAttempts > 0) {
      unconfirmedAttempts.values().removeIf(attempt -> attempt.part() == part);
      part.unconfirmedAttempts = 0;
    }
  }

  /** The attempt that the load balancer knows by these numbers, or null. */
  InFlightAttempt attempt(int part, int ordinal) {
    return attemptsByKey.get(new InFlightAttempt.Key(part, ordinal));
  }

  List<InFlightAttempt> attemptsOf(InFlightPart part) {
    return part.attemptsInFlight == 0
        ? List.of()
        : attempts.values().stream().filter(attempt -> attempt.part() == part).toList();
  }

  /** Moves a part from its first pass to its full pass, under a number of its own. */
  void startFullPass(InFlightPart part, int number) {
    parts.remove(part.number);
    part.firstPassAttempts += part.attemptsStarted;
    part.attemptsStarted = 0;
    part.number = number;
    part.inFirstPass = false;
    parts.put(number, part);
  }

  /** Removes a query that has its response, or whose client has left, and closes its parts. */
  void remove(InFlightQuery query) {
    queries.remove(query.number);
    queriesByExchange.remove(query.exchange);
    queriesById.remove(query.request.id());
    for (InFlightPart part : query.allParts()) {
      close(part);
      parts.remove(part.number);
    }
  }

  /** Closes a part: unsent attempts for it are withdrawn at the end of the turn. */
  void close(InFlightPart part) {
    part.closed = true;
    closedParts.add(part);
  }
}

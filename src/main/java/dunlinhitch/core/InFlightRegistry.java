package dunlinhitch.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of all queries, parts, attempts and health checks in flight, and of the endpoints, by the
 * numbers that the load balancer uses and the identifiers that the edges use. Owned by the reducer;
 * not thread-safe.
 */
final class InFlightRegistry {
  /** Queries by number, in the order of their arrival. */
  final Map<Integer, InFlightQuery> queries = new LinkedHashMap<>();

  final Map<Long, InFlightQuery> queriesByExchange = new HashMap<>();
  final Map<String, InFlightQuery> queriesById = new HashMap<>();
  final ExecutedQueries executedQueries = new ExecutedQueries();
  final Map<Integer, InFlightPart> parts = new HashMap<>();
  final Map<Long, InFlightAttempt> attempts = new HashMap<>();

  /**
   * The attempts in flight by key. An attempt is looked up here rather than through its part,
   * because the part may be closed and removed before its attempts end.
   */
  private final Map<InFlightAttempt.Key, InFlightAttempt> attemptsByKey = new HashMap<>();

  /** Attempts of open parts that have ended at this broker but that endpoints may still execute. */
  final Map<Long, InFlightAttempt> unconfirmedAttempts = new HashMap<>();

  final Map<Long, PendingHealthCheck> healthChecks = new HashMap<>();
  final Map<Integer, TrackedEndpoint> endpoints = new LinkedHashMap<>();
  final Map<String, TrackedEndpoint> endpointsByName = new HashMap<>();

  /** Parts closed in this turn, whether or not they have attempts in flight. */
  final List<InFlightPart> closedParts = new ArrayList<>();

  /** Increases with every change of the endpoints. */
  long endpointsVersion;

  /**
   * The endpoints that an operator has disabled, by name, whether or not they are in the endpoint
   * list. The value is the number reserved for the endpoint while it is disabled.
   */
  final Map<String, Integer> disabledEndpoints = new HashMap<>();

  boolean isDisabled(TrackedEndpoint endpoint) {
    return disabledEndpoints.containsKey(endpoint.name());
  }

  /**
   * Number of queries and parts in flight, whether or not they have been sent; compared with the
   * in-flight limit of the settings.
   */
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

  /**
   * Adds an attempt of an open part that ends at this broker although its endpoint may still
   * execute it.
   */
  void addUnconfirmed(InFlightAttempt attempt) {
    unconfirmedAttempts.put(attempt.id(), attempt);
    attempt.part().unconfirmedAttempts++;
  }

  /** Removes and returns an unconfirmed attempt; null if there is none with the given number. */
  InFlightAttempt removeUnconfirmed(long attemptId) {
    InFlightAttempt attempt = unconfirmedAttempts.remove(attemptId);
    if (attempt != null) {
      attempt.part().unconfirmedAttempts--;
    }
    return attempt;
  }

  /**
   * Removes the unconfirmed attempts of a closed part, because no retry is waiting for their
   * release.
   */
  void forgetUnconfirmed(InFlightPart part) {
    if (part.unconfirmedAttempts > 0) {
      unconfirmedAttempts.values().removeIf(attempt -> attempt.part() == part);
      part.unconfirmedAttempts = 0;
    }
  }

  /** Returns the attempt that the load balancer identifies by these numbers, or null. */
  InFlightAttempt attempt(int part, int ordinal) {
    return attemptsByKey.get(new InFlightAttempt.Key(part, ordinal));
  }

  List<InFlightAttempt> attemptsOf(InFlightPart part) {
    return part.attemptsInFlight == 0
        ? List.of()
        : attempts.values().stream().filter(attempt -> attempt.part() == part).toList();
  }

  /** Moves a part from its first pass to its full pass, under a new number. */
  void startFullPass(InFlightPart part, int number) {
    parts.remove(part.number);
    part.firstPassAttempts += part.attemptsStarted;
    part.attemptsStarted = 0;
    part.number = number;
    part.inFirstPass = false;
    parts.put(number, part);
  }

  /** Removes a query that was answered or whose client has disconnected, and closes its parts. */
  void remove(InFlightQuery query) {
    queries.remove(query.number);
    queriesByExchange.remove(query.exchange);
    queriesById.remove(query.request.id());
    for (InFlightPart part : query.allParts()) {
      close(part);
      parts.remove(part.number);
    }
  }

  /** Closes a part. Its unsent attempts are withdrawn at the end of the turn. */
  void close(InFlightPart part) {
    part.closed = true;
    closedParts.add(part);
  }
}

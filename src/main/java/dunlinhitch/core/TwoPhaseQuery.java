package dunlinhitch.core;

import dunlinhitch.twophase.TwoPhasePlanner;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A client's query that the load balancer executes as sub-queries: one for its first passes and one
 * for each set of full passes. Owned by {@link TwoPhaseStage}; not thread-safe.
 */
final class TwoPhaseQuery {
  /** Value of {@link #firstPassSubQuery} if no first pass is open. */
  static final int NONE = 0;

  final InFlightQuery query;
  final long startedUs;

  /** Parts included in the first pass, by shard, in the order of the request. */
  final Map<Integer, InFlightPart> firstPassParts = new LinkedHashMap<>();

  /** Answers to the first pass received so far, by shard. */
  final Map<Integer, TwoPhasePlanner.FirstAnswer> firstPassAnswers = new HashMap<>();

  /** Shards without matching records, which need no full pass. */
  final Set<Integer> prunedShards = new HashSet<>();

  /** Prunable shards that get a full pass nevertheless, as an audit. */
  final Set<Integer> auditedShards = new HashSet<>();

  /** Numbers of the open sub-queries. */
  final Set<Integer> openSubQueries = new HashSet<>();

  /** The open sub-query for first passes, or {@link #NONE}. */
  int firstPassSubQuery = NONE;

  /** True if the load balancer has rejected a full pass. */
  boolean rejected;

  /** The longest retry delay of the rejected full passes, in microseconds. */
  long retryAfterUs;

  TwoPhaseQuery(InFlightQuery query, long startedUs) {
    this.query = query;
    this.startedUs = startedUs;
  }

  String className() {
    return query.request.queryClass().name();
  }

  /** True while a sub-query is open. */
  boolean isOpen() {
    return firstPassSubQuery != NONE || !openSubQueries.isEmpty();
  }
}

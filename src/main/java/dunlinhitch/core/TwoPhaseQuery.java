package dunlinhitch.core;

import dunlinhitch.twophase.TwoPhasePlanner;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A client's query that runs as sub-queries of the load balancer: one for its first passes and one
 * for each set of full passes. Owned by {@link TwoPhaseStage}; not thread-safe.
 */
final class TwoPhaseQuery {
  /** Value of {@link #firstPassSubQuery} while no first pass is open. */
  static final int NONE = 0;

  final InFlightQuery query;
  final long startedUs;

  /** Parts asked for a first pass, by shard, in the order of the request. */
  final Map<Integer, InFlightPart> firstPassParts = new LinkedHashMap<>();

  /** First passes completed, by shard. */
  final Map<Integer, TwoPhasePlanner.FirstAnswer> firstPassAnswers = new HashMap<>();

  /** Shards without a record, which need no full pass. */
  final Set<Integer> prunedShards = new HashSet<>();

  /** Shards that could be pruned and get a full pass all the same, as an audit. */
  final Set<Integer> auditedShards = new HashSet<>();

  /** Numbers of the open sub-queries. */
  final Set<Integer> openSubQueries = new HashSet<>();

  /** The open sub-query for first passes, or {@link #NONE}. */
  int firstPassSubQuery = NONE;

  /** True once the load balancer has rejected a full pass. */
  boolean rejected;

  /** The longest retry delay of those rejections, in microseconds. */
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

package dunlinhitch.balancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The queries in flight, and their parts until the last attempt has ended.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class QueryRegistry {
  private final Map<Integer, Query> queries = new LinkedHashMap<>();
  private final Map<Long, Query> byNumber = new HashMap<>();
  private final Map<Integer, Part> parts = new HashMap<>();

  void add(Query query) {
    queries.put(query.id, query);
    byNumber.put(query.number, query);
  }

  void add(Part part) {
    parts.put(part.id, part);
    part.query.parts.add(part);
  }

  /** Returns the query with the given id, or null. */
  Query get(int id) {
    return queries.get(id);
  }

  /** Returns the query with the given number, or null. */
  Query byNumber(long number) {
    return byNumber.get(number);
  }

  /** Returns the part with the given id, or null. */
  Part part(int id) {
    return parts.get(id);
  }

  /** Returns a copy of the queries in flight, since a decision on one query may end others. */
  List<Query> snapshot() {
    return new ArrayList<>(queries.values());
  }

  /** Ends a query; its parts are retained until their attempts have ended. */
  void remove(Query query) {
    query.ended = true;
    queries.remove(query.id);
    byNumber.remove(query.number);
    query.parts.forEach(this::removeIfFinished);
  }

  /** Removes a part if its query has ended and it has no attempt in flight. */
  void removeIfFinished(Part part) {
    if (part.query.ended && part.inFlight.isEmpty()) {
      parts.remove(part.id);
    }
  }
}

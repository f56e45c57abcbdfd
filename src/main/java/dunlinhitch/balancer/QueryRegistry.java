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

  /** The query of that id, or null. */
  Query get(int id) {
    return queries.get(id);
  }

  /** The query of that number, or null. */
  Query byNumber(long number) {
    return byNumber.get(number);
  }

  /** The part of that id, or null. */
  Part part(int id) {
    return parts.get(id);
  }

  /** A copy of the queries in flight: a decision on one may end others. */
  List<Query> snapshot() {
    return new ArrayList<>(queries.values());
  }

  /** Ends a query; its parts stay until their attempts have ended. */
  void remove(Query query) {
    query.ended = true;
    queries.remove(query.id);
    byNumber.remove(query.number);
    query.parts.forEach(this::removeIfFinished);
  }

  /** Forgets a part whose query has ended and that has no attempt in flight. */
  void removeIfFinished(Part part) {
    if (part.query.ended && part.inFlight.isEmpty()) {
      parts.remove(part.id);
    }
  }
}

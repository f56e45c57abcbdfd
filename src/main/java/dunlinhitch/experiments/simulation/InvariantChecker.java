package dunlinhitch.experiments.simulation;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks the required invariants at every step, using only the messages that enter and leave a
 * broker. Keeps the first violation with the recent trace lines that mention its query or endpoint.
 */
public final class InvariantChecker {
  /** Microseconds that are added to every time limit to allow for network latency. */
  private static final long TIME_TOLERANCE_US = 50_000;

  private static final double WEIGHT_TOLERANCE = 0.001;
  private static final int MAX_ATTEMPTS = 4;
  private static final int RECENT_LINES = 400;

  /** A violated invariant, its time and step, and the trace lines about its subject. */
  public record Violation(String rule, long atUs, long step, String subject, String trace) {}

  private static final class PartState {
    private int attempts;
    private int outstanding;
    private long possiblyExecutedUs = -1;
  }

  private static final class QueryState {
    private final QueryRequest request;
    private final int broker;
    private int answers;
    private boolean clientDisconnected;

    QueryState(QueryRequest request, int broker) {
      this.request = request;
      this.broker = broker;
    }
  }

  private final Scheduler time;
  private final Map<String, QueryState> queries = new HashMap<>();
  private final Map<String, PartState> parts = new HashMap<>();
  private final Map<String, Long> unavailableSinceUs = new HashMap<>();
  private final Set<String> endedAttempts = new HashSet<>();
  private final Deque<String> lines = new ArrayDeque<>();
  private Violation violation;

  InvariantChecker(Scheduler time) {
    this.time = time;
  }

  Violation violation() {
    return violation;
  }

  void recordLine(String text) {
    lines.add(time.now() + " " + text);
    if (lines.size() > RECENT_LINES) {
      lines.poll();
    }
  }

  void reportViolation(String rule, String subject) {
    if (violation == null) {
      StringBuilder relevant = new StringBuilder();
      lines.stream()
          .filter(line -> line.contains(subject))
          .forEach(line -> relevant.append(line).append('\n'));
      violation = new Violation(rule, time.now(), time.steps(), subject, relevant.toString());
    }
  }

  void queryAccepted(int broker, QueryRequest request) {
    queries.put(request.id(), new QueryState(request, broker));
  }

  void clientDisconnected(String id) {
    QueryState query = queries.get(id);
    if (query != null) {
      query.clientDisconnected = true;
    }
  }

  /** Called when a broker crashes. The queries of the broker no longer require an answer. */
  void brokerCrashed(int broker) {
    queries.values().removeIf(query -> query.broker == broker);
    unavailableSinceUs.keySet().removeIf(key -> key.startsWith(broker + " "));
    parts.keySet().removeIf(key -> key.startsWith(broker + " "));
  }

  void queryAnswered(String id, QueryResponse answer) {
    QueryState query = queries.get(id);
    if (query == null) {
      reportViolation("an answer to an unknown query", id);
      return;
    }
    if (++query.answers > 1) {
      reportViolation("a second answer to a query", id);
    }
    if (time.now() > query.request.deadlineUs() + TIME_TOLERANCE_US) {
      reportViolation("an answer after the deadline of the query", id);
    }
    if (answer instanceof QueryResponse.Served served) {
      double servedShare = 0;
      for (QueryResponse.PartValue value : served.parts()) {
        servedShare +=
            query.request.parts().stream()
                .filter(request -> request.shard() == value.shard())
                .mapToDouble(QueryRequest.PartRequest::weight)
                .sum();
        if (!value.value().equals(Simulation.value(query.request.text(), value.shard()))) {
          reportViolation("a part value that differs from the value of its store", id);
        }
      }
      if (servedShare < query.request.queryClass().floor() - WEIGHT_TOLERANCE) {
        reportViolation("an answer below the minimum share of its query class", id);
      }
      if (served.complete() && servedShare < query.request.queryClass().need() - WEIGHT_TOLERANCE) {
        reportViolation("an incomplete answer marked as complete", id);
      }
    }
  }

  /**
   * Called when discovery notifies a broker that an endpoint is available or unavailable. Once the
   * drain grace period has elapsed, the broker must not send attempts to an unavailable endpoint.
   */
  void endpointNotified(int broker, String store, boolean available) {
    String key = broker + " " + store;
    if (available) {
      unavailableSinceUs.remove(key);
    } else {
      unavailableSinceUs.putIfAbsent(key, time.now());
    }
  }

  /**
   * Called when a broker sends an attempt; {@code request} is null if its query is no longer open.
   */
  void attemptSent(
      int broker,
      SimulatedStore store,
      QueryRequest request,
      String partId,
      int shard,
      long attempt,
      int cells) {
    if (store.cell != shard % cells) {
      reportViolation("an attempt at a store that does not hold the shard", partId);
    }
    Long unavailable = unavailableSinceUs.get(broker + " " + store.name);
    if (unavailable != null && time.now() > unavailable + 250_000 + TIME_TOLERANCE_US) {
      reportViolation("an attempt at a draining or removed store", partId);
    }
    PartState part = parts.computeIfAbsent(broker + " " + partId, k -> new PartState());
    if (part.outstanding > 0) {
      reportViolation("two attempts of a part in flight", partId);
    }
    part.outstanding++;
    if (++part.attempts > MAX_ATTEMPTS) {
      reportViolation("more attempts of a part than allowed", partId);
    }
    if (request != null
        && request.queryClass().idempotency() == Idempotency.GUARDED
        && part.possiblyExecutedUs >= 0
        && time.now()
            > part.possiblyExecutedUs + request.queryClass().dedupWindowUs() + TIME_TOLERANCE_US) {
      reportViolation("a repeated attempt after the deduplication window", partId);
    }
    part.possiblyExecutedUs = part.possiblyExecutedUs < 0 ? time.now() : part.possiblyExecutedUs;
  }

  /**
   * Called when an attempt ends; {@code neverExecuted} is true if the store has not executed the
   * attempt.
   */
  void attemptEnded(int broker, String partId, long attempt, boolean neverExecuted) {
    PartState part = parts.get(broker + " " + partId);
    if (part != null && endedAttempts.add(broker + " " + attempt)) {
      part.outstanding--;
      if (neverExecuted && part.attempts == 1) {
        part.possiblyExecutedUs = -1;
      }
    }
  }

  /** Called after the drain period: every accepted query must have been answered exactly once. */
  void simulationEnded(int openInBrokers) {
    queries.forEach(
        (id, query) -> {
          if (query.answers == 0 && !query.clientDisconnected) {
            reportViolation("a query without an answer at the end of the run", id);
          }
        });
    if (openInBrokers > 0) {
      reportViolation("queries still open at the end of the run", openInBrokers + " ");
    }
  }

  /** Reports unanswered queries past their deadline and removes completed queries. */
  void checkOverdueQueries() {
    for (Map.Entry<String, QueryState> entry : queries.entrySet()) {
      QueryState query = entry.getValue();
      if (query.answers == 0
          && !query.clientDisconnected
          && time.now() > query.request.deadlineUs() + TIME_TOLERANCE_US) {
        reportViolation("a query without an answer by its deadline", entry.getKey());
      }
    }
    queries
        .values()
        .removeIf(
            query ->
                time.now() > query.request.deadlineUs() + 2_000_000
                    && (query.answers > 0 || query.clientDisconnected));
  }
}

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
 * The rules of the brief, checked at every step from outside the broker: by what crosses its edges,
 * not by its tables. The first breach is kept, with the last lines that name its query or store.
 */
public final class InvariantChecker {
  /** Every limit is so much longer on the way. */
  private static final long TIME_TOLERANCE_US = 50_000;

  private static final double WEIGHT_TOLERANCE = 0.001;
  private static final int MAX_ATTEMPTS = 4;
  private static final int RECENT_LINES = 400;

  /** What broke, when, and what led to it. */
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

    QueryState(QueryRequest ask, int broker) {
      this.request = ask;
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
      StringBuilder story = new StringBuilder();
      lines.stream()
          .filter(line -> line.contains(subject))
          .forEach(line -> story.append(line).append('\n'));
      violation = new Violation(rule, time.now(), time.steps(), subject, story.toString());
    }
  }

  void queryAccepted(int broker, QueryRequest ask) {
    queries.put(ask.id(), new QueryState(ask, broker));
  }

  void clientDisconnected(String id) {
    QueryState q = queries.get(id);
    if (q != null) {
      q.clientDisconnected = true;
    }
  }

  /** A broker died: what it had is no longer owed. */
  void brokerCrashed(int broker) {
    queries.values().removeIf(q -> q.broker == broker);
    unavailableSinceUs.keySet().removeIf(key -> key.startsWith(broker + " "));
    parts.keySet().removeIf(key -> key.startsWith(broker + " "));
  }

  void queryAnswered(String id, QueryResponse answer) {
    QueryState q = queries.get(id);
    if (q == null) {
      reportViolation("an answer to no query", id);
      return;
    }
    if (++q.answers > 1) {
      reportViolation("two final answers", id);
    }
    if (time.now() > q.request.deadlineUs() + TIME_TOLERANCE_US) {
      reportViolation("an answer after the client's time", id);
    }
    if (answer instanceof QueryResponse.Served served) {
      double in = 0;
      for (QueryResponse.PartValue value : served.parts()) {
        in +=
            q.request.parts().stream()
                .filter(p -> p.shard() == value.shard())
                .mapToDouble(QueryRequest.PartRequest::weight)
                .sum();
        if (!value.value().equals(Simulation.value(q.request.text(), value.shard()))) {
          reportViolation("a value that no store made for this part", id);
        }
      }
      if (in < q.request.queryClass().floor() - WEIGHT_TOLERANCE) {
        reportViolation("an answer from less than the least share", id);
      }
      if (served.complete() && in < q.request.queryClass().need() - WEIGHT_TOLERANCE) {
        reportViolation("an answer marked whole that is not", id);
      }
    }
  }

  /** What the roster has told a broker of a store: from then on nothing new after the grace. */
  void endpointNotified(int broker, String store, boolean takesWork) {
    String key = broker + " " + store;
    if (takesWork) {
      unavailableSinceUs.remove(key);
    } else {
      unavailableSinceUs.putIfAbsent(key, time.now());
    }
  }

  /** A part left for a store. */
  void attemptSent(
      int broker,
      SimulatedStore store,
      QueryRequest ask,
      String partId,
      int shard,
      long attempt,
      int cells) {
    if (store.cell != shard % cells) {
      reportViolation("a part to a store that does not hold its shard", partId);
    }
    Long barred = unavailableSinceUs.get(broker + " " + store.name);
    if (barred != null && time.now() > barred + 250_000 + TIME_TOLERANCE_US) {
      reportViolation("work for a store that drains or is gone", partId);
    }
    PartState part = parts.computeIfAbsent(broker + " " + partId, k -> new PartState());
    if (part.outstanding > 0) {
      reportViolation("two attempts out for a part", partId);
    }
    part.outstanding++;
    if (++part.attempts > MAX_ATTEMPTS) {
      reportViolation("more attempts than allowed", partId);
    }
    if (ask != null
        && ask.queryClass().idempotency() == Idempotency.GUARDED
        && part.possiblyExecutedUs >= 0
        && time.now()
            > part.possiblyExecutedUs + ask.queryClass().dedupWindowUs() + TIME_TOLERANCE_US) {
      reportViolation("a repeat after its window", partId);
    }
    part.possiblyExecutedUs = part.possiblyExecutedUs < 0 ? time.now() : part.possiblyExecutedUs;
  }

  /** An attempt is over for the broker. */
  void attemptEnded(int broker, String partId, long attempt, boolean neverRan) {
    PartState part = parts.get(broker + " " + partId);
    if (part != null && endedAttempts.add(broker + " " + attempt)) {
      part.outstanding--;
      if (neverRan && part.attempts == 1) {
        part.possiblyExecutedUs = -1;
      }
    }
  }

  /** The day is over and everything had its time: whatever was taken was answered once. */
  void simulationEnded(int openInBrokers) {
    queries.forEach(
        (id, q) -> {
          if (q.answers == 0 && !q.clientDisconnected) {
            reportViolation("a query without an answer", id);
          }
        });
    if (openInBrokers > 0) {
      reportViolation("queries that are still open", openInBrokers + " ");
    }
  }

  /** Within the day: what is overdue without an answer. */
  void checkOverdueQueries() {
    for (Map.Entry<String, QueryState> e : queries.entrySet()) {
      QueryState q = e.getValue();
      if (q.answers == 0
          && !q.clientDisconnected
          && time.now() > q.request.deadlineUs() + TIME_TOLERANCE_US) {
        reportViolation("a query without an answer in its client's time", e.getKey());
      }
    }
    queries
        .values()
        .removeIf(
            q ->
                time.now() > q.request.deadlineUs() + 2_000_000
                    && (q.answers > 0 || q.clientDisconnected));
  }
}

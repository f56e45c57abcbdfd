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
public final class Checker {
  /** Every limit is so much longer on the way. */
  private static final long SLACK_US = 50_000;

  private static final double WEIGHT_SLACK = 0.001;
  private static final int MOST_ATTEMPTS = 4;
  private static final int LINES = 400;

  /** What broke, when, and what led to it. */
  public record Breach(String rule, long atUs, long step, String subject, String story) {}

  private static final class PartSeen {
    private int attempts;
    private int out;
    private long mayHaveRunUs = -1;
  }

  private static final class QuerySeen {
    private final QueryRequest ask;
    private final int broker;
    private int answers;
    private boolean left;

    QuerySeen(QueryRequest ask, int broker) {
      this.ask = ask;
      this.broker = broker;
    }
  }

  private final Scheduler time;
  private final Map<String, QuerySeen> queries = new HashMap<>();
  private final Map<String, PartSeen> parts = new HashMap<>();
  private final Map<String, Long> barredSinceUs = new HashMap<>();
  private final Set<String> endedAttempts = new HashSet<>();
  private final Deque<String> lines = new ArrayDeque<>();
  private Breach breach;

  Checker(Scheduler time) {
    this.time = time;
  }

  Breach breach() {
    return breach;
  }

  void line(String text) {
    lines.add(time.now() + " " + text);
    if (lines.size() > LINES) {
      lines.poll();
    }
  }

  void broken(String rule, String subject) {
    if (breach == null) {
      StringBuilder story = new StringBuilder();
      lines.stream()
          .filter(line -> line.contains(subject))
          .forEach(line -> story.append(line).append('\n'));
      breach = new Breach(rule, time.now(), time.steps(), subject, story.toString());
    }
  }

  void taken(int broker, QueryRequest ask) {
    queries.put(ask.id(), new QuerySeen(ask, broker));
  }

  void left(String id) {
    QuerySeen q = queries.get(id);
    if (q != null) {
      q.left = true;
    }
  }

  /** A broker died: what it had is no longer owed. */
  void died(int broker) {
    queries.values().removeIf(q -> q.broker == broker);
    barredSinceUs.keySet().removeIf(key -> key.startsWith(broker + " "));
    parts.keySet().removeIf(key -> key.startsWith(broker + " "));
  }

  void answered(String id, QueryResponse answer) {
    QuerySeen q = queries.get(id);
    if (q == null) {
      broken("an answer to no query", id);
      return;
    }
    if (++q.answers > 1) {
      broken("two final answers", id);
    }
    if (time.now() > q.ask.deadlineUs() + SLACK_US) {
      broken("an answer after the client's time", id);
    }
    if (answer instanceof QueryResponse.Served served) {
      double in = 0;
      for (QueryResponse.PartValue value : served.parts()) {
        in +=
            q.ask.parts().stream()
                .filter(p -> p.shard() == value.shard())
                .mapToDouble(QueryRequest.PartRequest::weight)
                .sum();
        if (!value.value().equals(World.value(q.ask.text(), value.shard()))) {
          broken("a value that no store made for this part", id);
        }
      }
      if (in < q.ask.queryClass().floor() - WEIGHT_SLACK) {
        broken("an answer from less than the least share", id);
      }
      if (served.complete() && in < q.ask.queryClass().need() - WEIGHT_SLACK) {
        broken("an answer marked whole that is not", id);
      }
    }
  }

  /** What the roster has told a broker of a store: from then on nothing new after the grace. */
  void told(int broker, String store, boolean takesWork) {
    String key = broker + " " + store;
    if (takesWork) {
      barredSinceUs.remove(key);
    } else {
      barredSinceUs.putIfAbsent(key, time.now());
    }
  }

  /** A part left for a store. */
  void sent(
      int broker,
      SimStore store,
      QueryRequest ask,
      String partId,
      int shard,
      long attempt,
      int cells) {
    if (store.cell != shard % cells) {
      broken("a part to a store that does not hold its shard", partId);
    }
    Long barred = barredSinceUs.get(broker + " " + store.name);
    if (barred != null && time.now() > barred + 250_000 + SLACK_US) {
      broken("work for a store that drains or is gone", partId);
    }
    PartSeen part = parts.computeIfAbsent(broker + " " + partId, k -> new PartSeen());
    if (part.out > 0) {
      broken("two attempts out for a part", partId);
    }
    part.out++;
    if (++part.attempts > MOST_ATTEMPTS) {
      broken("more attempts than allowed", partId);
    }
    if (ask != null
        && ask.queryClass().idempotency() == Idempotency.GUARDED
        && part.mayHaveRunUs >= 0
        && time.now() > part.mayHaveRunUs + ask.queryClass().dedupWindowUs() + SLACK_US) {
      broken("a repeat after its window", partId);
    }
    part.mayHaveRunUs = part.mayHaveRunUs < 0 ? time.now() : part.mayHaveRunUs;
  }

  /** An attempt is over for the broker. */
  void ended(int broker, String partId, long attempt, boolean neverRan) {
    PartSeen part = parts.get(broker + " " + partId);
    if (part != null && endedAttempts.add(broker + " " + attempt)) {
      part.out--;
      if (neverRan && part.attempts == 1) {
        part.mayHaveRunUs = -1;
      }
    }
  }

  /** The day is over and everything had its time: whatever was taken was answered once. */
  void over(int openInBrokers) {
    queries.forEach(
        (id, q) -> {
          if (q.answers == 0 && !q.left) {
            broken("a query without an answer", id);
          }
        });
    if (openInBrokers > 0) {
      broken("queries that are still open", openInBrokers + " ");
    }
  }

  /** Within the day: what is overdue without an answer. */
  void look() {
    for (Map.Entry<String, QuerySeen> e : queries.entrySet()) {
      QuerySeen q = e.getValue();
      if (q.answers == 0 && !q.left && time.now() > q.ask.deadlineUs() + SLACK_US) {
        broken("a query without an answer in its client's time", e.getKey());
      }
    }
    queries
        .values()
        .removeIf(q -> time.now() > q.ask.deadlineUs() + 2_000_000 && (q.answers > 0 || q.left));
  }
}

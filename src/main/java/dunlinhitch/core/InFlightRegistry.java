package dunlinhitch.core;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.endpoints.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Rows of what is open, under the numbers the decisions know and the names the edges know. */
final class InFlightRegistry {
  final Map<Integer, QueryRow> queries = new LinkedHashMap<>();
  final Map<Long, QueryRow> byExchange = new HashMap<>();
  final Map<String, QueryRow> byId = new HashMap<>();
  final Map<Integer, PartRow> parts = new HashMap<>();
  final Map<Long, AttemptRow> attempts = new HashMap<>();

  /** The same by part and number: a part's row may be gone before its attempts are. */
  private final Map<Long, AttemptRow> byTry = new HashMap<>();

  final Map<Long, ProbeRow> probes = new HashMap<>();
  final Map<Integer, StoreRow> stores = new LinkedHashMap<>();
  final Map<String, StoreRow> byName = new HashMap<>();

  /** Parts that were over in this turn, whether or not anything is out for them. */
  final List<PartRow> over = new ArrayList<>();

  /** Rises with every change of the stores. */
  long storesVersion;

  /** Stores that are out by hand, and the number that each keeps meanwhile, listed or not. */
  final Map<String, Integer> barred = new HashMap<>();

  boolean isBarred(StoreRow row) {
    return barred.containsKey(row.entry.name());
  }

  /** Queries and parts that are held, sent or not. */
  int held() {
    return queries.size() + parts.size();
  }

  void add(AttemptRow row) {
    attempts.put(row.id, row);
    byTry.put(tryKey(row.told, row.number), row);
  }

  void remove(AttemptRow row) {
    attempts.remove(row.id);
    byTry.remove(tryKey(row.told, row.number));
  }

  AttemptRow attempt(int part, int number) {
    return byTry.get(tryKey(part, number));
  }

  private static long tryKey(int part, int number) {
    return (long) part << 32 | number;
  }

  static final class QueryRow {
    final int number;
    final long exchange;
    final QueryRequest ask;
    final List<PartRow> parts = new ArrayList<>();

    /**
     * Parts of the second step, once the first is closed; what is in of the first is then no part
     * of the answer.
     */
    final List<PartRow> second = new ArrayList<>();

    /** What the second step follows, null before it begins. */
    Effect.FirstStep firstStep;

    /** Attempts for each part by the settings that it met. */
    final int mostAttempts;

    QueryRow(int number, long exchange, QueryRequest ask, int mostAttempts) {
      this.number = number;
      this.exchange = exchange;
      this.ask = ask;
      this.mostAttempts = mostAttempts;
    }

    /** The parts of the present step. */
    List<PartRow> step() {
      return firstStep == null ? parts : second;
    }

    /** All parts that were ever opened for it. */
    List<PartRow> all() {
      if (second.isEmpty()) {
        return parts;
      }
      List<PartRow> all = new ArrayList<>(parts);
      all.addAll(second);
      return all;
    }

    /** What is in of the present step, whichever way it came. */
    List<QueryResponse.PartValue> in() {
      return step().stream()
          .filter(part -> part.value != null)
          .map(part -> new QueryResponse.PartValue(part.ask.shard(), part.value))
          .toList();
    }

    private double weightIn() {
      return step().stream()
          .filter(part -> part.value != null)
          .mapToDouble(part -> part.ask.weight())
          .sum();
    }

    /**
     * Whether what is in may be given at all: from the class's floor on, but of a second step only
     * with every part of it where the floor is not under the need.
     */
    boolean enough() {
      double least =
          firstStep != null && ask.kind().floor() >= ask.kind().need() ? 1 : ask.kind().floor();
      return step().stream().anyMatch(part -> part.value != null)
          && weightIn() >= least - Reducer.WEIGHT_SLACK;
    }

    /**
     * Whether what is in may be marked whole; after a second step only if the first's answer was,
     * and every part is in.
     */
    boolean whole() {
      return firstStep == null
          ? weightIn() >= ask.kind().need() - Reducer.WEIGHT_SLACK
          : firstStep.whole() && second.stream().allMatch(part -> part.value != null);
    }
  }

  static final class PartRow {
    /** What the decisions know it by; another in its second phase. */
    int number;

    final QueryRow query;
    final QueryRequest.PartRequest ask;
    final String id;

    /** Attempts under its present number, and under one before. */
    int attempts;

    int before;

    /** It is only asked whether there is anything. */
    boolean first;

    int out;

    /** When the first attempt that may have run was sent, be it still out; below 0: none. */
    long mayHaveRunUs = -1;

    /** The same of those that have ended. */
    long endedRunUs = -1;

    /**
     * The value once it is in, else null; what the store said that it ranks by, NaN where that was
     * no number.
     */
    String value;

    double score = Double.NaN;
    boolean over;

    /** Of the second step. */
    final boolean follows;

    /** A part of the query's present step. */
    PartRow(int number, QueryRow query, QueryRequest.PartRequest ask) {
      this.number = number;
      this.query = query;
      this.ask = ask;
      follows = query.firstStep != null;
      id = query.ask.id() + "." + ask.shard() + (follows ? ".r" : "");
    }
  }

  /** {@code told}: the part's number when it was sent; {@code first}: of a first pass. */
  record AttemptRow(
      long id, PartRow part, int told, int number, StoreRow store, long sentUs, boolean first) {}

  /** The part goes on to its full pass, under a number of its own. */
  void renumber(PartRow part, int number) {
    parts.remove(part.number);
    part.before += part.attempts;
    part.attempts = 0;
    part.number = number;
    part.first = false;
    parts.put(number, part);
  }

  List<AttemptRow> attemptsOf(PartRow part) {
    return part.out == 0
        ? List.of()
        : attempts.values().stream().filter(row -> row.part == part).toList();
  }

  record ProbeRow(long id, StoreRow store, long sentUs) {}

  static final class StoreRow {
    final int number;
    Endpoint entry;
    long toldUs;
    int out;

    StoreRow(int number, Endpoint entry) {
      this.number = number;
      this.entry = entry;
    }

    ServerState state() {
      return entry.state();
    }
  }

  void remove(QueryRow q) {
    queries.remove(q.number);
    byExchange.remove(q.exchange);
    byId.remove(q.ask.id());
    for (PartRow part : q.all()) {
      over(part);
      parts.remove(part.number);
    }
  }

  /**
   * Nobody waits for the part any more: what has not left of it is taken back at the end of the
   * turn.
   */
  void over(PartRow part) {
    part.over = true;
    over.add(part);
  }
}

package dunlinhitch.decide;

import java.util.List;

/**
 * What a front node and the decision module say to each other: settings and events in, {@link
 * Actions} out.
 *
 * <p>Units: every time is in microseconds, on one clock that never runs back. A deadline is a
 * moment on that clock and travels with what it bounds; spans are only found in settings and in
 * advice to clients. Ids are opaque and unsigned. Ordering: events are given in the order they
 * happened; actions are to be carried out in the order they were called, before the next event.
 * Threading: one aggregator, one thread at a time. A caller must never call back into the module
 * from within an action, reuse an id, or leave out the end of an attempt: each {@link Actions#send}
 * is owed exactly one {@link AttemptEnded}.
 */
public final class Routing {
  private Routing() {}

  /** How an attempt or probe ended. */
  public enum Outcome {
    OK,
    ERROR,
    FULL,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    MOOT;

    /** True where the outcome proves that the attempt had no effect. */
    public boolean neverRan() {
      return this == FULL || this == CONNECT_FAILED || this == MOOT;
    }
  }

  /**
   * What may be done again: FREE anything, GUARDED within a window, SINGLE_SHOT only what never
   * ran.
   */
  public enum Repeat {
    FREE,
    GUARDED,
    SINGLE_SHOT
  }

  /** Values a load report may hold, in the order of {@link Settings#reportFields}. */
  public enum ReportField {
    OUTSTANDING,
    BACKLOG,
    UTILIZATION,
    RECENT_MS,
    THROUGHPUT,
    ERRORS,
    OTHER
  }

  /**
   * State of a server in the list. WITHDRAWN: it gets nothing new from this moment on, not even as
   * the last of its shard, and what was learnt of it is kept, for it may come back as the same
   * process.
   */
  public enum ServerState {
    READY,
    DRAINING,
    GONE,
    WITHDRAWN
  }

  /**
   * DELTA changes a list, FULL and CACHED replace it (CACHED may be old), FAILED says a request
   * failed.
   */
  public enum ListKind {
    DELTA,
    FULL,
    CACHED,
    FAILED
  }

  /**
   * One class of query; fractions are 0 to 1, {@code followUp} the parts of a second step (0:
   * none).
   */
  public record QueryClass(
      String name,
      long aimUs,
      double aimStretch,
      long deadlineUs,
      Repeat repeat,
      double lateWorth,
      long dedupWindowUs,
      double worth,
      boolean streaming,
      int followUp,
      double floor,
      double need,
      double shortWorth) {
    public QueryClass {
      positive("classes.aimUs", aimUs);
      positive("classes.deadlineUs", deadlineUs);
      atLeastZero("classes.aimStretch", aimStretch);
      atLeastZero("classes.dedupWindowUs", dedupWindowUs);
      atLeastZero("classes.worth", worth);
      atLeastZero("classes.followUp", followUp);
      ratio("classes.lateWorth", lateWorth);
      ratio("classes.floor", floor);
      ratio("classes.need", need);
      ratio("classes.shortWorth", shortWorth);
    }
  }

  /**
   * A customer's part of the service: its name, its queries a second over all aggregators, and its
   * fraction.
   */
  public record Tenant(String name, double quotaPerS, double share) {
    public Tenant {
      atLeastZero("tenants.quotaPerS", quotaPerS);
      ratio("tenants.share", share);
    }
  }

  /** Shard s is held by the cells (s + j) mod cells, j from 0 to inARow - 1. */
  public record Layout(int cells, int inARow, int shards, int partsPerCall, long callOverheadUs) {
    public Layout {
      positive("layout.cells", cells);
      positive("layout.inARow", inARow);
      positive("layout.partsPerCall", partsPerCall);
      atLeastZero("layout.callOverheadUs", callOverheadUs);
    }
  }

  /** What the site allows. */
  public record Limits(
      int maxAttempts,
      int mostHeld,
      boolean mayCancel,
      boolean mayProbe,
      boolean parallelTries,
      boolean retryAfter,
      long maxRetryAfterUs,
      long connectTimeoutUs,
      int streamsPerConnection,
      long connectionIdleUs) {
    public Limits {
      positive("limits.maxAttempts", maxAttempts);
      positive("limits.mostHeld", mostHeld);
      atLeastZero("limits.maxRetryAfterUs", maxRetryAfterUs);
      atLeastZero("limits.connectTimeoutUs", connectTimeoutUs);
      positive("limits.streamsPerConnection", streamsPerConnection);
      atLeastZero("limits.connectionIdleUs", connectionIdleUs);
    }
  }

  /**
   * Figures of the rules; {@code repeatRatio} below 0: no budget for further attempts is stated.
   */
  public record Rules(
      long answerSlackUs,
      long askWithinUs,
      double repeatRatio,
      double budgetFree,
      long ratioSpanUs,
      double coldFrom,
      long warmAfterUs,
      double overloadFactor,
      long fallUs,
      long drainGraceUs) {
    public Rules {
      atLeastZero("rules.answerSlackUs", answerSlackUs);
      atLeastZero("rules.askWithinUs", askWithinUs);
      atLeastZero("rules.budgetFree", budgetFree);
      atLeastZero("rules.ratioSpanUs", ratioSpanUs);
      ratio("rules.coldFrom", coldFrom);
      atLeastZero("rules.warmAfterUs", warmAfterUs);
      atLeastZero("rules.overloadFactor", overloadFactor);
      atLeastZero("rules.fallUs", fallUs);
      atLeastZero("rules.drainGraceUs", drainGraceUs);
      if (Double.isNaN(repeatRatio) || repeatRatio > 1e6) {
        throw new IllegalArgumentException("rules.repeatRatio is out of range: " + repeatRatio);
      }
    }
  }

  /** Points taken off, as told. */
  public record Prices(double crossZone, double probe, double waste, double lateFail) {}

  /** All an aggregator is told at its start. */
  public record Settings(
      int aggregators,
      List<String> zones,
      int zone,
      long tickUs,
      List<QueryClass> classes,
      List<Tenant> tenants,
      double overShareWorth,
      Layout layout,
      Limits limits,
      Rules rules,
      Prices prices,
      boolean mustAskForList,
      boolean reportsInAnswers,
      boolean reportsInProbes,
      List<ReportField> reportFields,
      boolean marksRepeats) {
    public Settings {
      positive("aggregators", aggregators);
      positive("tickUs", tickUs);
      ratio("overShareWorth", overShareWorth);
      if (classes.isEmpty()) {
        throw new IllegalArgumentException("classes is empty");
      }
      zones = List.copyOf(zones);
      classes = List.copyOf(classes);
      tenants = List.copyOf(tenants);
      reportFields = List.copyOf(reportFields);
    }

    /** The same with other classes. */
    public Settings withClasses(List<QueryClass> others) {
      return new Settings(
          aggregators,
          zones,
          zone,
          tickUs,
          others,
          tenants,
          overShareWorth,
          layout,
          limits,
          rules,
          prices,
          mustAskForList,
          reportsInAnswers,
          reportsInProbes,
          reportFields,
          marksRepeats);
    }

    /** The same with turns so far apart. */
    public Settings withTick(long us) {
      return new Settings(
          aggregators,
          zones,
          zone,
          us,
          classes,
          tenants,
          overShareWorth,
          layout,
          limits,
          rules,
          prices,
          mustAskForList,
          reportsInAnswers,
          reportsInProbes,
          reportFields,
          marksRepeats);
    }

    /** The same among so many that share what all may do together. */
    public Settings amongAggregators(int many) {
      return new Settings(
          many,
          zones,
          zone,
          tickUs,
          classes,
          tenants,
          overShareWorth,
          layout,
          limits,
          rules,
          prices,
          mustAskForList,
          reportsInAnswers,
          reportsInProbes,
          reportFields,
          marksRepeats);
    }
  }

  /** One line of the server list; {@code startedUs} 0: a long time ago. */
  public record ServerEntry(
      int id, int zone, int cell, ServerState state, double size, long startedUs) {}

  /** Something that happened. */
  public sealed interface Event
      permits Start,
          QueryArrived,
          PartArrived,
          AttemptStarted,
          AttemptEnded,
          ProbeEnded,
          ServerList,
          ServerBarred,
          Retuned,
          AlarmRang,
          PeerMessage,
          ClientLeft {}

  /** The aggregator begins; the first event, once. */
  public record Start() implements Event {}

  /**
   * A query was taken; its parts follow at the same time. {@code deadlineUs}: when its client stops
   * waiting. {@code hintUs} 0: no hint.
   */
  public record QueryArrived(
      int id,
      long number,
      int queryClass,
      int tenant,
      int parts,
      long deadlineUs,
      long hintUs,
      boolean repeat)
      implements Event {}

  /** One part of the query with that number. */
  public record PartArrived(int id, long number, int shard, double weight, long hintUs)
      implements Event {}

  /** The answer of a streamed attempt has begun. */
  public record AttemptStarted(int part, int attempt, int server, long elapsedUs)
      implements Event {}

  /** An attempt ended; {@code settled}: its part is done. An empty {@code report} is none. */
  public record AttemptEnded(
      int part,
      int attempt,
      Outcome outcome,
      int server,
      long elapsedUs,
      boolean settled,
      float[] report)
      implements Event {}

  /** A probe came back. */
  public record ProbeEnded(int server, Outcome outcome, long elapsedUs, float[] report)
      implements Event {}

  /** News of the server list. */
  public record ServerList(ListKind kind, List<ServerEntry> servers) implements Event {}

  /**
   * A server is taken out by hand, or may serve again: it is new and cold then. Its id stays the
   * same meanwhile.
   */
  public record ServerBarred(int server, boolean out) implements Event {}

  /**
   * Other settings hold from now on; queries that are open keep their class. Zones and layout are
   * the same.
   */
  public record Retuned(Settings settings) implements Event {}

  /** An alarm set earlier is due. */
  public record AlarmRang(long token) implements Event {}

  /** Bytes from another aggregator. */
  public record PeerMessage(int sender, byte[] content) implements Event {}

  /** The client of a query has gone; the query and its parts are over. */
  public record ClientLeft(int query) implements Event {}

  /** What the module may ask of the front node. */
  public interface Actions {
    /** Starts the part's next attempt, which ends by itself when {@code dueUs} is reached. */
    void send(int part, int server, long dueUs);

    /**
     * Answers the query from the parts that are in; the first of two answers where a second step
     * follows.
     */
    void answer(int query, boolean whole);

    /** Final: refused, safe to ask again after {@code comeBackUs} (0: no advice). */
    void refuse(int query, long comeBackUs);

    /** Final: given up, with no promise. */
    void fail(int query);

    /** Stops waiting for one attempt. */
    void cancel(int part, int attempt);

    /** Shuts the idle connections to a server, so that the next send opens a new one. */
    void release(int server);

    /** Checks a server. */
    void probe(int server);

    /**
     * Asks for an {@link AlarmRang} with this token at that time or soon after; never within this
     * event.
     */
    void alarm(long token, long dueUs);

    /** Asks for changes of the server list from now on. */
    void subscribe();

    /** Leaves a line for the operators. */
    void log(String text);
  }

  private static void positive(String field, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(field + " must be above 0: " + value);
    }
  }

  private static void atLeastZero(String field, double value) {
    if (!(value >= 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(field + " must be 0 or more: " + value);
    }
  }

  private static void ratio(String field, double value) {
    if (!(value >= 0 && value <= 1)) {
      throw new IllegalArgumentException(field + " must be from 0 to 1: " + value);
    }
  }
}

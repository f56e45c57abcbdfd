package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.InFlightRegistry.AttemptRow;
import dunlinhitch.core.InFlightRegistry.PartRow;
import dunlinhitch.core.InFlightRegistry.StoreRow;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/**
 * The life of an attempt within the reducer: what may leave at all, how the sends of a turn share
 * calls, and the one end that each of them gets.
 */
final class Attempts {
  /** Of both phases the full one leaves first. */
  private static final boolean[] ONE_AFTER_THE_OTHER = {false, true};

  private static final float[] NO_REPORT = {};

  /** What this needs of the reducer. */
  interface Host {
    long now();

    Settings settings();

    void effect(Effect effect);

    /** The attempt falls due then. */
    void due(long atUs, long attempt);

    /** The decisions learn of it in a later turn. */
    void owe(BalancerEvent event);

    /**
     * An attempt has ended, {@code value} null where it brought none; before the decisions are
     * told.
     */
    void ended(AttemptRow row, AttemptOutcome outcome, float[] report, String value);
  }

  private final InFlightRegistry tables;
  private final Counters counters;
  private final Host host;

  /** Sends of this turn, by store. */
  private final Map<Integer, List<Effect.AttemptRequest>> calls = new LinkedHashMap<>();

  private long last;

  Attempts(InFlightRegistry tables, Counters counters, Host host) {
    this.tables = tables;
    this.counters = counters;
    this.host = host;
  }

  /**
   * The decisions want the part sent; what must not leave is told to them as such, a turn later.
   */
  void send(int partNumber, int server, long dueUs) {
    PartRow part = tables.parts.get(partNumber);
    StoreRow store = tables.stores.get(server);
    if (part == null) {
      bar("part " + partNumber, "it is not open");
      host.owe(
          new BalancerEvent.AttemptCompleted(
              partNumber, 0, AttemptOutcome.MOOT, server, 0, true, NO_REPORT));
      return;
    }
    String why = barred(part, store);
    int number = part.attempts++;
    if (why != null) {
      bar(part.id, why);
      host.owe(
          new BalancerEvent.AttemptCompleted(
              partNumber, number, AttemptOutcome.MOOT, server, 0, part.over, NO_REPORT));
      return;
    }
    AttemptRow row =
        new AttemptRow(++last, part, part.number, number, store, host.now(), part.first);
    tables.add(row);
    part.out++;
    store.out++;
    long before = part.mayHaveRunUs;
    part.mayHaveRunUs = before < 0 ? host.now() : before;
    QueryRequest ask = part.query.ask;
    long until = Math.min(dueUs, ask.deadlineUs());
    host.due(until, row.id());
    long repeatUntil =
        before >= 0 && ask.kind().repeat() == Idempotency.GUARDED
            ? before + ask.kind().dedupWindowUs()
            : Long.MAX_VALUE;
    calls
        .computeIfAbsent(server, s -> new ArrayList<>())
        .add(
            new Effect.AttemptRequest(
                row.id(),
                part.id,
                part.ask.shard(),
                ask.key(),
                until,
                repeatUntil,
                ask.text(),
                part.first,
                part.follows ? part.query.firstStep : null));
  }

  private void bar(String what, String why) {
    counters.add(Counter.SENDS_BARRED);
    host.effect(new Effect.LogMessage("barred a send of " + what + ": " + why));
  }

  /**
   * Why a send must not leave, or null. The decisions keep these rules themselves; this holds
   * should they fail to, for one such send makes the whole day void.
   */
  private String barred(PartRow part, StoreRow store) {
    Settings settings = host.settings();
    long now = host.now();
    if (part.over || part.query.ask.deadlineUs() <= now) {
      return "its query is over";
    }
    int most = Math.min(settings.limits().maxAttempts(), part.query.mostAttempts);
    if (part.before + part.attempts
        >= (part.first ? most - 1 : most)) { // one is left for the full pass
      return "it had all its attempts";
    }
    if (part.out > 0 && !settings.limits().parallelAttempts()) {
      return "another attempt is out";
    }
    if (store == null || takesNothingNew(store)) {
      return "the store takes nothing new";
    }
    if (tables.isBarred(store)) {
      return "the store is out by hand";
    }
    if (part.first && store.entry.phases() < 2) {
      return "the store knows no first pass";
    }
    int cells = settings.layout().cells();
    if (Math.floorMod(store.entry.cell() - part.ask.shard(), cells) >= settings.layout().inARow()) {
      return "the store does not hold its shard";
    }
    if (part.mayHaveRunUs < 0) {
      return null;
    }
    QueryClass kind = part.query.ask.kind();
    boolean late =
        kind.repeat() == Idempotency.GUARDED && now > part.mayHaveRunUs + kind.dedupWindowUs();
    return late || kind.repeat() == Idempotency.SINGLE_SHOT ? "it may have run" : null;
  }

  private boolean takesNothingNew(StoreRow store) {
    return store.state() == ServerState.GONE
        || store.state() == ServerState.WITHDRAWN
        || (store.state() == ServerState.DRAINING
            && host.now() >= store.toldUs + host.settings().rules().drainGraceUs());
  }

  /**
   * Takes an attempt off the tables and words its one end; what it proves is noted with its part.
   */
  BalancerEvent.AttemptCompleted end(
      AttemptRow row, AttemptOutcome outcome, float[] report, String value, double score) {
    tables.remove(row);
    PartRow part = row.part();
    part.out--;
    row.store().out--;
    counters.add(
        switch (outcome) {
          case OK -> Counter.ATTEMPTS_SERVED;
          case ERROR -> Counter.ATTEMPTS_ERROR;
          case FULL -> Counter.ATTEMPTS_FULL;
          case TIMEOUT -> Counter.ATTEMPTS_TIMED_OUT;
          case CONNECT_FAILED -> Counter.ATTEMPTS_NOT_CONNECTED;
          case RESET -> Counter.ATTEMPTS_RESET;
          case CANCELLED -> Counter.ATTEMPTS_GIVEN_UP;
          case MOOT -> Counter.SENDS_BARRED;
        });
    if (!outcome.neverRan()) {
      part.endedRunUs =
          part.endedRunUs < 0 ? row.sentUs() : Math.min(part.endedRunUs, row.sentUs());
    } else if (part.mayHaveRunUs
        == row.sentUs()) { // then it counts from the next that may have, out or ended
      part.mayHaveRunUs =
          LongStream.concat(
                  LongStream.of(part.endedRunUs).filter(at -> at >= 0),
                  tables.attemptsOf(part).stream().mapToLong(AttemptRow::sentUs))
              .min()
              .orElse(-1);
    }
    if (outcome == AttemptOutcome.OK && !row.first() && !part.over && part.value == null) {
      part.value = value;
      part.score = score;
    }
    host.ended(row, outcome, report, value);
    return new BalancerEvent.AttemptCompleted(
        row.told(),
        row.number(),
        outcome,
        row.store().number,
        host.now() - row.sentUs(),
        part.over || outcome == AttemptOutcome.OK,
        report);
  }

  BalancerEvent.AttemptCompleted end(AttemptRow row, AttemptOutcome outcome) {
    return end(row, outcome, NO_REPORT, null, Double.NaN);
  }

  /** Ends the wait for an attempt; one that is still to leave in this turn never does. */
  void stopWaiting(AttemptRow row) {
    if (!takeBack(row)) {
      host.effect(new Effect.CancelAttempt(row.store().number, row.id()));
    }
  }

  private boolean takeBack(AttemptRow row) {
    List<Effect.AttemptRequest> waiting = calls.get(row.store().number);
    return waiting != null && waiting.removeIf(send -> send.attempt() == row.id());
  }

  /**
   * What is still out for parts that nobody waits for was not given up: the site does not allow it.
   * It goes on where it has left; where it has not, here or at the edge, it never does.
   */
  private void withdrawOver() {
    for (PartRow part : tables.over) {
      for (AttemptRow row : tables.attemptsOf(part)) {
        if (takeBack(row)) {
          host.owe(end(row, AttemptOutcome.MOOT));
        } else {
          host.effect(new Effect.WithdrawAttempt(row.store().number, row.id()));
        }
      }
    }
    tables.over.clear();
  }

  /**
   * What was to leave for that store in this turn does not: the decisions learn of it a turn later.
   */
  void drop(int store) {
    List<Effect.AttemptRequest> unsent = calls.remove(store);
    if (unsent != null) {
      unsent.forEach(
          send -> host.owe(end(tables.attempts.get(send.attempt()), AttemptOutcome.MOOT)));
    }
  }

  /** The turn's sends leave, each store's in calls of as many parts as the settings allow. */
  void flush(boolean inTwoPhases) {
    withdrawOver();
    // the decisions may have been told of the store since, in this same turn
    List.copyOf(calls.keySet()).stream()
        .filter(
            store -> tables.stores.get(store) == null || takesNothingNew(tables.stores.get(store)))
        .forEach(this::drop);
    int most = host.settings().layout().partsPerCall();
    calls.forEach(
        (store, sends) -> {
          for (boolean first : ONE_AFTER_THE_OTHER) {
            List<Effect.AttemptRequest> some =
                !inTwoPhases
                    ? first ? List.of() : sends
                    : sends.stream().filter(send -> send.first() == first).toList();
            for (int from = 0; from < some.size(); from += most) {
              host.effect(
                  new Effect.SendRequest(
                      store, some.subList(from, Math.min(some.size(), from + most))));
              counters.add(Counter.CALLS_SENT);
            }
          }
          counters.add(Counter.ATTEMPTS_SENT, sends.size());
        });
    calls.clear();
  }
}

package dunlinhitch.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * When the list is asked for, given up and asked for again, and which of two addresses speaks. No
 * I/O, clock or thread: what happened goes in, what is to be done comes out. Each call has a number
 * of its own; what comes of one that was dropped changes nothing. Times are microseconds on the
 * broker's clock.
 */
final class WatchStateMachine {
  /** Lists of another discovery are numbered anew: none of its own is known yet. */
  static final long NONE_YET = -1;

  static final long NEVER = Long.MAX_VALUE;

  /**
   * Beside the very first call to an address the next waits longer: in a process that has just
   * started it takes a while.
   */
  private static final int FIRST_TIMES = 8;

  /** After a call that took longer than its pause the next is made so soon. */
  private static final long AT_ONCE_US = 100_000;

  /** What is to be done. */
  sealed interface Step {
    /**
     * A call is to be made; {@code since}: the list that is held, or {@link #NONE_YET} for the
     * whole of another.
     */
    record Ask(long call, String host, int port, long since) implements Step {}

    /** The connection of that call is to be closed. */
    record Drop(long call) implements Step {}

    /** A watch or a call broke; to be counted. */
    record Lost() implements Step {}

    /** Nothing has been heard since then: what is held may be out of date. */
    record Silent(long sinceUs) implements Step {}

    /** It is heard again. */
    record Heard() implements Step {}
  }

  private enum Phase {
    PAUSING,
    ASKED,
    OPEN,
    ENDED
  }

  /** As the settings have them now. */
  private final Supplier<WatchTimings> times;

  private final SplittableRandom random;
  private final long knownGeneration;
  private Session current;

  /** The one that is heard until the current one has spoken, or null. */
  private Session before;

  private long lastCall;
  private long freshUs;
  private boolean silentTold;
  private List<Step> steps = new ArrayList<>();

  /** {@code knownGeneration}: of the list that is held at the start. */
  WatchStateMachine(Supplier<WatchTimings> times, long knownGeneration, long seed) {
    this.times = times;
    this.knownGeneration = knownGeneration;
    random = new SplittableRandom(seed);
  }

  /** What is heard from one address. */
  private final class Session {
    private final String host;
    private final int port;
    private final Backoff pauses = new Backoff(random.nextLong());
    private long generation;
    private Phase phase = Phase.PAUSING;

    /** Calls that are out, the oldest first; where one is answered it is the only one. */
    private final List<Out> calls = new ArrayList<>();

    private boolean asked;

    /**
     * What is open has brought a list, or has been heard for a while: where it breaks, the pause
     * after it is a first one.
     */
    private boolean sound;

    private long dueUs;

    /** Since when an object is not whole. */
    private long withinUs = NEVER;

    Session(String host, int port, long generation) {
      this.host = host;
      this.port = port;
      this.generation = generation;
    }

    private void ask(long now) {
      phase = Phase.ASKED;
      withinUs = NEVER;
      sound = false;
      calls.add(new Out(++lastCall, now, generation == NONE_YET));
      WatchTimings held = times.get();
      dueUs =
          now
              + (held.mostCalls() == 1
                  ? held.answerUs()
                  : pauses.drawn(asked ? held.againUs() : FIRST_TIMES * held.againUs()));
      asked = true;
      steps.add(new Step.Ask(lastCall, host, port, generation));
    }

    private void drop(Out call) {
      calls.remove(call);
      steps.add(new Step.Drop(call.number()));
    }

    private void dropAll() {
      List.copyOf(calls).forEach(this::drop);
    }

    private void end() {
      phase = Phase.ENDED;
      dueUs = NEVER;
      dropAll();
    }

    private void heard(long now) {
      dueUs = now + times.get().silentUs() + random.nextLong(times.get().silentUs() / 8);
      if (withinUs != NEVER) {
        dueUs = Math.min(dueUs, withinUs + times.get().stalledUs());
      }
    }

    private void proved() {
      sound = true;
      pauses.heard();
    }

    /** That call ended or is given up; beside it others may be out. */
    private void lost(long now, Out call) {
      steps.add(new Step.Lost());
      drop(call);
      if (this != current) { // discovery has moved from here
        before = null;
        end();
        return;
      }
      tellSilent();
      if (calls.isEmpty()) {
        phase = Phase.PAUSING;
        long pauseUs = pauses.nextUs(times.get().pauses());
        // one that was given up has cost its time: from one call to the next it is no longer than
        // the pause
        dueUs =
            sound
                ? now + pauseUs
                : Math.max(
                    now + Math.min(pauseUs, pauses.drawn(AT_ONCE_US)), call.askedUs() + pauseUs);
      }
    }

    private void due(long now) {
      if (phase == Phase.PAUSING) {
        ask(now);
      } else if (phase == Phase.OPEN || times.get().mostCalls() == 1) {
        List.copyOf(calls)
            .forEach(
                call -> lost(now, call)); // more than one where new settings allow one from now on
      } else {
        tellSilent();
        if (calls.size()
            >= times.get().mostCalls()) { // the oldest may be merely slow: it has its whole time
          lost(now, calls.get(now - calls.get(0).askedUs() < times.get().answerUs() ? 1 : 0));
        }
        ask(now);
      }
    }
  }

  private record Out(long number, long askedUs, boolean whole) {}

  private void tellSilent() {
    if (!silentTold) {
      silentTold = true;
      steps.add(new Step.Silent(freshUs));
    }
  }

  private Session of(long call) {
    for (Session session : before == null ? List.of(current) : List.of(current, before)) {
      if (session.calls.stream().anyMatch(out -> out.number() == call)) {
        return session;
      }
    }
    return null;
  }

  private static Out out(Session session, long call) {
    return session.calls.stream().filter(out -> out.number() == call).findFirst().orElseThrow();
  }

  private List<Step> done() {
    List<Step> some = steps;
    steps = new ArrayList<>();
    return some;
  }

  /** True where what comes by that call is to be read. */
  boolean hears(long call) {
    return current != null && of(call) != null;
  }

  /** Discovery is there from now on; a watch that speaks is heard until this one has spoken. */
  List<Step> follow(long now, String host, int port) {
    boolean first = current == null;
    if (before != null) { // the one that it moved to last has not spoken
      current.end();
    } else {
      before = current;
    }
    if (before != null && before.phase != Phase.OPEN) { // a silent one has nothing to say meanwhile
      before.end();
      before = null;
    }
    current = new Session(host, port, first ? knownGeneration : NONE_YET);
    freshUs = silentTold ? freshUs : now;
    current.ask(now);
    return done();
  }

  /**
   * The list is to be asked for again from the one that is held; a call that is under way will do.
   */
  List<Step> resync(long now) {
    if (current != null && current.phase != Phase.ASKED && current.phase != Phase.ENDED) {
      current.pauses.heard();
      current.dropAll();
      current.ask(now);
    }
    return done();
  }

  List<Step> stop() {
    for (Session session : new Session[] {before, current}) {
      if (session != null) {
        session.end();
      }
    }
    return done();
  }

  /** The head of an answer came that a list is to follow. */
  List<Step> answered(long now, long call) {
    Session session = of(call);
    if (session != null && session.phase == Phase.ASKED) {
      session.phase = Phase.OPEN;
      List.copyOf(session.calls).stream()
          .filter(out -> out.number() != call)
          .forEach(session::drop);
      session.heard(now);
    }
    return done();
  }

  /**
   * Something came, an empty line may be; {@code within}: an object has begun by it that is not
   * whole.
   */
  List<Step> heard(long now, long call, boolean within) {
    Session session = of(call);
    if (session != null) {
      session.withinUs = !within ? NEVER : session.withinUs == NEVER ? now : session.withinUs;
      session.heard(now);
      if (now - out(session, call).askedUs() > times.get().silentUs()) {
        session.proved();
      }
      if (session == current) {
        freshUs = now;
        if (silentTold) {
          silentTold = false;
          steps.add(new Step.Heard());
        }
      }
    }
    return done();
  }

  /** A list, or a change of it, of that generation was read. */
  List<Step> listed(long now, long call, long generation) {
    Session session = of(call);
    if (session != null) {
      session.generation = generation;
      session.proved();
      if (session.withinUs != NEVER) { // what is not whole has begun after this one
        session.withinUs = now;
        session.heard(now);
      }
      if (session == current && before != null) {
        before.end(); // from here on the new address speaks alone
        before = null;
      }
      if (out(session, call).whole()) { // what comes after it
        session.dropAll();
        session.ask(now);
      }
    }
    return done();
  }

  /**
   * True where a list of that generation can be gone by: a change of an older one than is held is
   * of another numbering, or was overtaken, and what it is to be laid upon is not known.
   */
  boolean fits(long call, long generation, boolean reset) {
    Session session = of(call);
    return session != null
        && (reset || out(session, call).whole() || generation >= session.generation);
  }

  /** What came by that call is nothing to go by: the whole list is to be asked for. */
  List<Step> misfit(long now, long call) {
    Session session = of(call);
    if (session != null) {
      session.generation = NONE_YET;
      session.lost(now, out(session, call));
    }
    return done();
  }

  /** The call failed, ended, or brought what is no list. */
  List<Step> lost(long now, long call) {
    Session session = of(call);
    if (session != null) {
      session.lost(now, out(session, call));
    }
    return done();
  }

  /** When {@link #passed} is wanted, at the latest. */
  long nextUs() {
    long next = current == null ? NEVER : current.dueUs;
    return before == null ? next : Math.min(next, before.dueUs);
  }

  List<Step> passed(long now) {
    for (Session session : new Session[] {before, current}) {
      if (session != null && session.phase != Phase.ENDED && session.dueUs <= now) {
        session.due(now);
      }
    }
    return done();
  }
}

package dunlinhitch.experiments.modelchecker;

import com.google.common.hash.Hasher;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/**
 * Three brokers that run one module, and the words between them: each word may be delivered in any
 * order, lost or doubled; brokers crash and start anew, links are cut and heal, and time passes by
 * a step for all. How often there is trouble of each kind has a most.
 */
public final class Brokers<W, V> implements Model<Brokers.State<W, V>, Brokers.Move<W>> {
  public static final int COUNT = 3;

  /** Words that the calm ending may deliver in one step. */
  private static final int FLOOD = 2_000;

  /**
   * The most of each.
   *
   * @param settled steps without trouble before the beginning
   * @param delay steps that a word may be on its way; then it is lost
   * @param words on their way at once, for acts that say some
   */
  public record Budget(
      int settled, int delay, int words, int crashes, int cuts, int losses, int copies, int news) {}

  /** What of the budget is spent. */
  private record Spent(int crashes, int cuts, int losses, int copies, int news) {
    Spent plus(int crash, int cut, int loss, int copy, int said) {
      return new Spent(crashes + crash, cuts + cut, losses + loss, copies + copy, news + said);
    }
  }

  /** A link that is cut, both ways; the lower number first. */
  private record Link(int a, int b) implements Comparable<Link> {
    static Link of(int one, int other) {
      return new Link(Math.min(one, other), Math.max(one, other));
    }

    @Override
    public int compareTo(Link other) {
      return a != other.a ? Integer.compare(a, other.a) : Integer.compare(b, other.b);
    }
  }

  /** A word on its way. */
  @SuppressWarnings(
      "ArrayRecordComponent") // the array is never changed, and flights are compared by identity
  private record Flight<W>(
      int from, int to, W word, int sentAt, boolean copied, Digest[] digests) {}

  /** {@code downAt} of each broker: when it crashed, or -1. */
  public record State<W, V>(
      int now,
      List<Local<W, V>> locals,
      List<Integer> downAt,
      Set<Link> cut,
      List<Flight<W>> flights,
      Spent spent) {
    boolean up(int number) {
      return downAt.get(number) < 0;
    }

    boolean reach(int one, int other) {
      return up(one) && up(other) && !cut.contains(Link.of(one, other));
    }
  }

  private enum Kind {
    DELIVER,
    LOSE,
    DOUBLE,
    CRASH,
    RESTART,
    CUT,
    HEAL,
    PASS,
    ACT
  }

  /** {@code flight} or {@code act} as the kind has them, else null. */
  public record Move<W>(Kind kind, int one, int other, Flight<W> flight, String act) {}

  private final Subject<W, V> subject;
  private final Budget budget;
  private final List<int[]> symmetries;
  private final Map<Integer, Local<W, V>> births = new ConcurrentHashMap<>();

  public Brokers(Subject<W, V> subject, Budget budget) {
    this.subject = subject;
    this.budget = budget;
    symmetries = subject.symmetries();
  }

  /**
   * All start at once, and go on without trouble for a while; each hears the next broker before the
   * one after.
   */
  @Override
  public State<W, V> start() {
    List<Local<W, V>> locals = new ArrayList<>();
    for (int i = 0; i < COUNT; i++) {
      locals.add(born(i, 0));
    }
    State<W, V> state =
        new State<>(
            0,
            List.copyOf(locals),
            List.of(-1, -1, -1),
            Set.of(),
            List.of(),
            new Spent(0, 0, 0, 0, 0));
    for (int step = 0; step < budget.settled(); step++) {
      state = pass(state);
      while (!state.flights().isEmpty()) {
        state = round(state);
      }
    }
    return state;
  }

  /**
   * Delivers all that is on its way; what is said to it is on its way after. Alike for all but for
   * their numbers.
   */
  private State<W, V> round(State<W, V> state) {
    List<Flight<W>> flights = state.flights();
    State<W, V> after = with(state, state.locals(), List.of(), state.spent());
    for (int to = 0; to < COUNT; to++) {
      for (int hop = 1; hop < COUNT; hop++) {
        for (Flight<W> flight : flights) {
          if (flight.to() == to && flight.from() == (to + hop) % COUNT) {
            after =
                feed(
                    after,
                    to,
                    new Local.Input<>(Local.Feed.HEARD, after.now(), flight.word(), null, 0));
          }
        }
      }
    }
    return after;
  }

  private Local<W, V> born(int number, int now) {
    return births.computeIfAbsent(
        now * COUNT + number,
        key -> new Local<W, V>(mouth -> subject.start(number, now, mouth), this::digests));
  }

  private Digest[] digests(Object what) {
    Digest[] digests = new Digest[symmetries.size()];
    for (int i = 0; i < digests.length; i++) {
      digests[i] = Shape.of(what, renamed(symmetries.get(i)));
    }
    return digests;
  }

  private static UnaryOperator<String> renamed(int[] symmetry) {
    return text ->
        text.length() == 2
                && text.charAt(0) == 'n'
                && text.charAt(1) >= '0'
                && text.charAt(1) < '0' + COUNT
            ? name(symmetry[text.charAt(1) - '0'])
            : text;
  }

  /** The name and host of that broker. */
  static String name(int number) {
    return "n" + number;
  }

  static int number(String name) {
    return name.charAt(1) - '0';
  }

  @Override
  public List<Move<W>> moves(State<W, V> state) {
    List<Move<W>> moves = new ArrayList<>();
    Spent spent = state.spent();
    Set<List<Object>> known = new HashSet<>();
    for (Flight<W> flight : state.flights()) {
      if (known.add(
          List.of(
              flight.from(),
              flight.to(),
              flight.copied(),
              flight.digests()[0]))) { // else one like it was there
        if (state.up(flight.to())) {
          moves.add(new Move<>(Kind.DELIVER, flight.from(), flight.to(), flight, null));
          if (!flight.copied() && spent.copies() < budget.copies()) {
            moves.add(new Move<>(Kind.DOUBLE, flight.from(), flight.to(), flight, null));
          }
        }
        if (spent.losses() < budget.losses()) {
          moves.add(new Move<>(Kind.LOSE, flight.from(), flight.to(), flight, null));
        }
      }
    }
    moves.add(new Move<>(Kind.PASS, 0, 0, null, null));
    for (int i = 0; i < COUNT; i++) {
      ofBroker(state, i, moves);
      for (int j = i + 1; j < COUNT; j++) {
        boolean cut = state.cut().contains(Link.of(i, j));
        if (cut || spent.cuts() < budget.cuts()) {
          moves.add(new Move<>(cut ? Kind.HEAL : Kind.CUT, i, j, null, null));
        }
      }
    }
    return moves;
  }

  private void ofBroker(State<W, V> state, int number, List<Move<W>> moves) {
    Spent spent = state.spent();
    if (!state.up(number)) {
      if (state.now() > state.downAt().get(number)) { // a start takes its time
        moves.add(new Move<>(Kind.RESTART, number, number, null, null));
      }
      return;
    }
    if (spent.crashes() < budget.crashes()) {
      moves.add(new Move<>(Kind.CRASH, number, number, null, null));
    }
    for (String act : subject.acts(number)) {
      if (subject.isNews(act)
          ? spent.news() < budget.news()
          : state.flights().size() < budget.words()) {
        moves.add(new Move<>(Kind.ACT, number, number, null, act));
      }
    }
  }

  @Override
  public State<W, V> after(State<W, V> state, Move<W> move) {
    Spent spent = state.spent();
    return switch (move.kind()) {
      case DELIVER ->
          heard(
              with(state, state.locals(), without(state, move.flight(), null), spent),
              move.flight());
      case DOUBLE -> {
        Flight<W> f = move.flight();
        Flight<W> copy = new Flight<>(f.from(), f.to(), f.word(), f.sentAt(), true, f.digests());
        yield heard(
            with(state, state.locals(), without(state, f, copy), spent.plus(0, 0, 0, 1, 0)), f);
      }
      case LOSE ->
          with(
              state,
              state.locals(),
              without(state, move.flight(), null),
              spent.plus(0, 0, 1, 0, 0));
      case CRASH -> {
        List<Integer> down = new ArrayList<>(state.downAt());
        down.set(move.one(), state.now());
        yield new State<>(
            state.now(),
            state.locals(),
            List.copyOf(down),
            state.cut(),
            state.flights(),
            spent.plus(1, 0, 0, 0, 0));
      }
      case RESTART -> {
        List<Integer> down = new ArrayList<>(state.downAt());
        down.set(move.one(), -1);
        List<Local<W, V>> locals = new ArrayList<>(state.locals());
        locals.set(move.one(), born(move.one(), state.now()));
        State<W, V> again =
            new State<>(
                state.now(),
                List.copyOf(locals),
                List.copyOf(down),
                state.cut(),
                state.flights(),
                spent);
        yield said(again, move.one());
      }
      case CUT -> {
        Set<Link> cut = new TreeSet<>(state.cut());
        Link link = Link.of(move.one(), move.other());
        cut.add(link);
        List<Flight<W>> left =
            state.flights().stream().filter(f -> !Link.of(f.from(), f.to()).equals(link)).toList();
        yield new State<>(
            state.now(), state.locals(), state.downAt(), cut, left, spent.plus(0, 1, 0, 0, 0));
      }
      case HEAL -> {
        Set<Link> cut = new TreeSet<>(state.cut());
        cut.remove(Link.of(move.one(), move.other()));
        yield new State<>(state.now(), state.locals(), state.downAt(), cut, state.flights(), spent);
      }
      case PASS -> pass(state);
      case ACT -> {
        State<W, V> acting =
            with(
                state,
                state.locals(),
                state.flights(),
                subject.isNews(move.act()) ? spent.plus(0, 0, 0, 0, 1) : spent);
        yield feed(
            acting,
            move.one(),
            new Local.Input<>(Local.Feed.ACT, state.now(), null, move.act(), spent.news()));
      }
    };
  }

  /** Time passes by a step for all that are up; what is on its way for too long is lost. */
  private State<W, V> pass(State<W, V> state) {
    int now = state.now() + 1;
    List<Flight<W>> left =
        state.flights().stream().filter(f -> now - f.sentAt() <= budget.delay()).toList();
    State<W, V> after =
        new State<>(now, state.locals(), state.downAt(), state.cut(), left, state.spent());
    for (int i = 0; i < COUNT; i++) {
      if (state.up(i)) {
        after = feed(after, i, new Local.Input<>(Local.Feed.PASSED, now, null, null, 0));
      }
    }
    return after;
  }

  private State<W, V> heard(State<W, V> state, Flight<W> flight) {
    return feed(
        state,
        flight.to(),
        new Local.Input<>(Local.Feed.HEARD, state.now(), flight.word(), null, 0));
  }

  private State<W, V> feed(State<W, V> state, int number, Local.Input<W> input) {
    List<Local<W, V>> locals = new ArrayList<>(state.locals());
    locals.set(number, locals.get(number).fed(input));
    return said(with(state, List.copyOf(locals), state.flights(), state.spent()), number);
  }

  /** What that broker said last is on its way, if its link is whole and there is somebody. */
  private State<W, V> said(State<W, V> state, int from) {
    List<Flight<W>> flights = new ArrayList<>(state.flights());
    for (Local.Said<W> said : state.locals().get(from).said()) {
      if (said.to() != from && state.reach(from, said.to())) {
        flights.add(
            new Flight<>(from, said.to(), said.word(), state.now(), false, digests(said.word())));
      }
    }
    return with(state, state.locals(), List.copyOf(flights), state.spent());
  }

  private static <W, V> State<W, V> with(
      State<W, V> state, List<Local<W, V>> locals, List<Flight<W>> flights, Spent spent) {
    return new State<>(state.now(), locals, state.downAt(), state.cut(), flights, spent);
  }

  @SuppressWarnings("ReferenceEquality") // two flights may be equal: this one is meant
  private static <W, V> List<Flight<W>> without(
      State<W, V> state, Flight<W> gone, Flight<W> instead) {
    List<Flight<W>> flights = new ArrayList<>();
    for (Flight<W> flight : state.flights()) {
      if (flight != gone) {
        flights.add(flight);
      } else if (instead != null) {
        flights.add(instead);
      }
    }
    return List.copyOf(flights);
  }

  /**
   * The least of the digests under the symmetries, which is the same for all states that are the
   * same but for names.
   */
  @Override
  public Digest digest(State<W, V> state) {
    Digest least = null;
    for (int i = 0; i < symmetries.size(); i++) {
      Digest digest = digest(state, i);
      least = least == null || digest.compareTo(least) < 0 ? digest : least;
    }
    return least;
  }

  private Digest digest(State<W, V> state, int symmetry) {
    int[] becomes = symmetries.get(symmetry);
    int[] was = new int[COUNT];
    for (int i = 0; i < COUNT; i++) {
      was[becomes[i]] = i;
    }
    Hasher hasher = Digest.hasher().putInt(state.now());
    for (int i : was) {
      state.locals().get(i).digest(symmetry).into(hasher);
      hasher.putInt(state.downAt().get(i));
    }
    Set<Link> cut = new TreeSet<>();
    state.cut().forEach(link -> cut.add(Link.of(becomes[link.a()], becomes[link.b()])));
    cut.forEach(link -> hasher.putInt(link.a()).putInt(link.b()));
    hasher.putInt(-1);
    state.flights().stream()
        .map(
            f -> {
              Hasher own =
                  Digest.hasher()
                      .putInt(becomes[f.from()])
                      .putInt(becomes[f.to()])
                      .putInt(f.sentAt())
                      .putBoolean(f.copied());
              f.digests()[symmetry].into(own);
              return Digest.of(own);
            })
        .sorted()
        .forEach(digest -> digest.into(hasher));
    Spent spent = state.spent();
    hasher
        .putInt(-1)
        .putInt(spent.crashes())
        .putInt(spent.cuts())
        .putInt(spent.losses())
        .putInt(spent.copies())
        .putInt(spent.news());
    return Digest.of(hasher);
  }

  @Override
  public Optional<String> broken(State<W, V> state) {
    return subject.broken(state.locals().stream().map(Local::seen).toList(), sides(state));
  }

  /** Those that are up, in groups that reach each other, be it by way of another. */
  private static <W, V> List<List<Integer>> sides(State<W, V> state) {
    List<List<Integer>> sides = new ArrayList<>();
    Set<Integer> placed = new HashSet<>();
    for (int i = 0; i < COUNT; i++) {
      if (state.up(i) && placed.add(i)) {
        Set<Integer> side = new LinkedHashSet<>(Set.of(i));
        for (int round = 0; round < COUNT; round++) {
          for (int j = 0; j < COUNT; j++) {
            int other = j;
            if (side.stream().anyMatch(member -> state.reach(member, other))) {
              side.add(j);
            }
          }
        }
        placed.addAll(side);
        sides.add(List.copyOf(side));
      }
    }
    return sides;
  }

  /**
   * Links are whole, all is delivered in the order in which it was said, and time passes; who is
   * down stays so.
   */
  @Override
  public Optional<String> unsettled(State<W, V> state) {
    List<Integer> live = new ArrayList<>();
    List<Node<W, V>> nodes = new ArrayList<>();
    Deque<Local.Said<W>> queue = new ArrayDeque<>();
    for (int i = 0; i < COUNT; i++) {
      nodes.add(null);
      if (state.up(i)) {
        live.add(i);
        boolean[] aloud = {false};
        int from = i;
        nodes.set(
            i,
            state
                .locals()
                .get(i)
                .again(
                    (to, word) -> {
                      if (aloud[0] && to != from && state.up(to)) {
                        queue.add(new Local.Said<>(to, word));
                      }
                    },
                    () -> {}));
        aloud[0] = true;
      }
    }
    state.flights().stream()
        .filter(f -> state.up(f.to()))
        .forEach(f -> queue.add(new Local.Said<>(f.to(), f.word())));
    return calm(state.now(), live, nodes, queue);
  }

  private Optional<String> calm(
      int begin, List<Integer> live, List<Node<W, V>> nodes, Deque<Local.Said<W>> queue) {
    Optional<String> wrong = Optional.empty();
    int lasted = 0;
    for (int now = begin; now <= begin + subject.settledWithin(); now++) {
      if (!deliver(now, nodes, queue)) {
        return Optional.of("words without an end at step " + now);
      }
      for (int i : live) {
        for (String act : subject.calmActs(i)) {
          nodes.get(i).act(now, 0, act);
        }
      }
      deliver(now, nodes, queue);
      wrong = subject.unsettled(live.stream().map(i -> nodes.get(i).seen()).toList(), live);
      lasted = wrong.isEmpty() ? lasted + 1 : 0;
      if (lasted > subject.lasting()) {
        return Optional.empty();
      }
      for (int i : live) {
        nodes.get(i).passed(now + 1);
      }
    }
    return wrong
        .or(() -> Optional.of("it did not last"))
        .map(what -> what + ", " + subject.settledWithin() + " steps on");
  }

  /** False where there is no end to it. */
  private boolean deliver(int now, List<Node<W, V>> nodes, Deque<Local.Said<W>> queue) {
    for (int delivered = 0; delivered < FLOOD && !queue.isEmpty(); delivered++) {
      Local.Said<W> said = queue.remove();
      nodes.get(said.to()).heard(now, said.word());
    }
    return queue.isEmpty();
  }

  @Override
  public String told(Move<W> move) {
    String one = name(move.one());
    return switch (move.kind()) {
      case DELIVER ->
          name(move.other()) + " hears " + one + ": " + subject.told(move.flight().word());
      case LOSE ->
          name(move.other()) + " never hears " + one + ": " + subject.told(move.flight().word());
      case DOUBLE ->
          name(move.other())
              + " hears, and will again, "
              + one
              + ": "
              + subject.told(move.flight().word());
      case CRASH -> one + " crashes";
      case RESTART -> one + " starts anew";
      case CUT -> one + " and " + name(move.other()) + " are cut";
      case HEAL -> one + " and " + name(move.other()) + " reach each other again";
      case PASS -> "a step of time passes";
      case ACT -> one + ": " + move.act();
    };
  }
}

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
 * A model of three brokers that each run one module and exchange messages. Messages may be
 * delivered in any order, dropped or duplicated; brokers crash and restart, links are partitioned
 * and heal, and logical time advances by one step for all brokers at once. A {@link Budget} bounds
 * the number of faults of each kind. States are immutable; all methods may be called from several
 * threads.
 *
 * @param <W> the message type
 * @param <V> the observation of a node
 */
public final class ClusterModel<W, V>
    implements Model<ClusterModel.State<W, V>, ClusterModel.Transition<W>> {
  /** The number of brokers in a model. */
  public static final int BROKER_COUNT = 3;

  /**
   * Maximum number of deliveries in one step of the convergence phase. A step with more deliveries
   * is reported as an endless exchange of messages.
   */
  private static final int MAX_DELIVERIES_PER_STEP = 2_000;

  /**
   * Maximum numbers of faults and updates in one execution.
   *
   * @param warmUpSteps number of steps that run without faults before the exploration begins
   * @param maxDelaySteps maximum number of steps for which a message stays in flight; a message
   *     that has not been delivered by then is lost
   * @param maxInFlight when at least this many messages are in flight, brokers perform only actions
   *     that publish an update
   */
  public record Budget(
      int warmUpSteps,
      int maxDelaySteps,
      int maxInFlight,
      int crashes,
      int partitions,
      int losses,
      int duplicates,
      int updates) {}

  /** The part of the budget that an execution has used. */
  private record UsedBudget(int crashes, int partitions, int losses, int duplicates, int updates) {
    UsedBudget plus(int crash, int partition, int loss, int duplicate, int update) {
      return new UsedBudget(
          crashes + crash,
          partitions + partition,
          losses + loss,
          duplicates + duplicate,
          updates + update);
    }
  }

  /** A bidirectional link between two brokers; {@code lower} is the smaller broker number. */
  private record Link(int lower, int higher) implements Comparable<Link> {
    static Link of(int one, int other) {
      return new Link(Math.min(one, other), Math.max(one, other));
    }

    @Override
    public int compareTo(Link other) {
      return lower != other.lower
          ? Integer.compare(lower, other.lower)
          : Integer.compare(higher, other.higher);
    }
  }

  /** A message in flight and its digests, one for each symmetry. */
  // A component that is an array is safe here: the array is never modified, and messages are
  // compared by identity.
  @SuppressWarnings("ArrayRecordComponent")
  private record InFlightMessage<W>(
      int from, int to, W message, int sentAt, boolean duplicated, Digest[] digests) {}

  /**
   * A global state.
   *
   * @param now logical time in steps
   * @param downSince for each broker, the step in which the broker crashed, or -1 if the broker is
   *     up
   */
  public record State<W, V>(
      int now,
      List<NodeHistory<W, V>> histories,
      List<Integer> downSince,
      Set<Link> partitionedLinks,
      List<InFlightMessage<W>> inFlight,
      UsedBudget used) {
    boolean isUp(int number) {
      return downSince.get(number) < 0;
    }

    boolean canReach(int one, int other) {
      return isUp(one) && isUp(other) && !partitionedLinks.contains(Link.of(one, other));
    }
  }

  /** The kind of a transition. */
  private enum TransitionKind {
    DELIVER,
    DROP,
    DUPLICATE,
    CRASH,
    RESTART,
    PARTITION,
    HEAL,
    TICK,
    ACTION
  }

  /** One transition; {@code message} and {@code action} are null unless the kind needs them. */
  public record Transition<W>(
      TransitionKind kind, int first, int second, InFlightMessage<W> message, String action) {}

  private final Subject<W, V> subject;
  private final Budget budget;
  private final List<int[]> symmetries;
  private final Map<Integer, NodeHistory<W, V>> initialHistories = new ConcurrentHashMap<>();

  /** Creates a model of a module under a fault budget. */
  public ClusterModel(Subject<W, V> subject, Budget budget) {
    this.subject = subject;
    this.budget = budget;
    symmetries = subject.symmetries();
  }

  /**
   * Starts all brokers at the same time and runs the warm-up steps without faults. Each broker
   * first receives the messages from the broker with the next higher number, modulo the number of
   * brokers.
   */
  @Override
  public State<W, V> initialState() {
    List<NodeHistory<W, V>> histories = new ArrayList<>();
    for (int i = 0; i < BROKER_COUNT; i++) {
      histories.add(initialHistory(i, 0));
    }
    State<W, V> state =
        new State<>(
            0,
            List.copyOf(histories),
            List.of(-1, -1, -1),
            Set.of(),
            List.of(),
            new UsedBudget(0, 0, 0, 0, 0));
    for (int step = 0; step < budget.warmUpSteps(); step++) {
      state = tick(state);
      while (!state.inFlight().isEmpty()) {
        state = deliverRound(state);
      }
    }
    return state;
  }

  /**
   * Delivers all messages in flight. Afterwards only the messages that the brokers sent in response
   * are in flight. The order in which a broker receives messages depends only on the difference
   * between the sender's number and its own, modulo the number of brokers.
   */
  private State<W, V> deliverRound(State<W, V> state) {
    List<InFlightMessage<W>> flights = state.inFlight();
    State<W, V> after = withMessages(state, state.histories(), List.of(), state.used());
    for (int to = 0; to < BROKER_COUNT; to++) {
      for (int hop = 1; hop < BROKER_COUNT; hop++) {
        for (InFlightMessage<W> flight : flights) {
          if (flight.to() == to && flight.from() == (to + hop) % BROKER_COUNT) {
            after =
                applyInput(
                    after,
                    to,
                    new NodeHistory.Input<>(
                        NodeHistory.InputKind.MESSAGE, after.now(), flight.message(), null, 0));
          }
        }
      }
    }
    return after;
  }

  private NodeHistory<W, V> initialHistory(int number, int now) {
    return initialHistories.computeIfAbsent(
        now * BROKER_COUNT + number,
        key -> new NodeHistory<W, V>(sender -> subject.start(number, now, sender), this::digests));
  }

  private Digest[] digests(Object value) {
    Digest[] digests = new Digest[symmetries.size()];
    for (int i = 0; i < digests.length; i++) {
      digests[i] = StateHasher.of(value, brokerRenaming(symmetries.get(i)));
    }
    return digests;
  }

  private static UnaryOperator<String> brokerRenaming(int[] symmetry) {
    return text ->
        text.length() == 2
                && text.charAt(0) == 'n'
                && text.charAt(1) >= '0'
                && text.charAt(1) < '0' + BROKER_COUNT
            ? name(symmetry[text.charAt(1) - '0'])
            : text;
  }

  /** Returns the name of broker {@code number}, which is also its host. */
  static String name(int number) {
    return "n" + number;
  }

  static int number(String name) {
    return name.charAt(1) - '0';
  }

  @Override
  public List<Transition<W>> transitions(State<W, V> state) {
    List<Transition<W>> transitions = new ArrayList<>();
    UsedBudget used = state.used();
    Set<List<Object>> distinctMessages = new HashSet<>();
    for (InFlightMessage<W> flight : state.inFlight()) {
      // If several equal messages are in flight, only the first is delivered.
      if (distinctMessages.add(
          List.of(flight.from(), flight.to(), flight.duplicated(), flight.digests()[0]))) {
        if (state.isUp(flight.to())) {
          transitions.add(
              new Transition<>(TransitionKind.DELIVER, flight.from(), flight.to(), flight, null));
          if (!flight.duplicated() && used.duplicates() < budget.duplicates()) {
            transitions.add(
                new Transition<>(
                    TransitionKind.DUPLICATE, flight.from(), flight.to(), flight, null));
          }
        }
        if (used.losses() < budget.losses()) {
          transitions.add(
              new Transition<>(TransitionKind.DROP, flight.from(), flight.to(), flight, null));
        }
      }
    }
    transitions.add(new Transition<>(TransitionKind.TICK, 0, 0, null, null));
    for (int i = 0; i < BROKER_COUNT; i++) {
      addBrokerTransitions(state, i, transitions);
      for (int j = i + 1; j < BROKER_COUNT; j++) {
        boolean partitioned = state.partitionedLinks().contains(Link.of(i, j));
        if (partitioned || used.partitions() < budget.partitions()) {
          transitions.add(
              new Transition<>(
                  partitioned ? TransitionKind.HEAL : TransitionKind.PARTITION, i, j, null, null));
        }
      }
    }
    return transitions;
  }

  private void addBrokerTransitions(
      State<W, V> state, int number, List<Transition<W>> transitions) {
    UsedBudget used = state.used();
    if (!state.isUp(number)) {
      if (state.now() > state.downSince().get(number)) { // a restart takes at least one step
        transitions.add(new Transition<>(TransitionKind.RESTART, number, number, null, null));
      }
      return;
    }
    if (used.crashes() < budget.crashes()) {
      transitions.add(new Transition<>(TransitionKind.CRASH, number, number, null, null));
    }
    for (String action : subject.actions(number)) {
      if (subject.isUpdate(action)
          ? used.updates() < budget.updates()
          : state.inFlight().size() < budget.maxInFlight()) {
        transitions.add(new Transition<>(TransitionKind.ACTION, number, number, null, action));
      }
    }
  }

  @Override
  public State<W, V> successor(State<W, V> state, Transition<W> transition) {
    UsedBudget used = state.used();
    return switch (transition.kind()) {
      case DELIVER ->
          deliverMessage(
              withMessages(
                  state,
                  state.histories(),
                  replaceMessage(state, transition.message(), null),
                  used),
              transition.message());
      case DUPLICATE -> {
        InFlightMessage<W> flight = transition.message();
        InFlightMessage<W> copy =
            new InFlightMessage<>(
                flight.from(),
                flight.to(),
                flight.message(),
                flight.sentAt(),
                true,
                flight.digests());
        yield deliverMessage(
            withMessages(
                state,
                state.histories(),
                replaceMessage(state, flight, copy),
                used.plus(0, 0, 0, 1, 0)),
            flight);
      }
      case DROP ->
          withMessages(
              state,
              state.histories(),
              replaceMessage(state, transition.message(), null),
              used.plus(0, 0, 1, 0, 0));
      case CRASH -> {
        List<Integer> down = new ArrayList<>(state.downSince());
        down.set(transition.first(), state.now());
        yield new State<>(
            state.now(),
            state.histories(),
            List.copyOf(down),
            state.partitionedLinks(),
            state.inFlight(),
            used.plus(1, 0, 0, 0, 0));
      }
      case RESTART -> {
        List<Integer> down = new ArrayList<>(state.downSince());
        down.set(transition.first(), -1);
        List<NodeHistory<W, V>> histories = new ArrayList<>(state.histories());
        histories.set(transition.first(), initialHistory(transition.first(), state.now()));
        State<W, V> restarted =
            new State<>(
                state.now(),
                List.copyOf(histories),
                List.copyOf(down),
                state.partitionedLinks(),
                state.inFlight(),
                used);
        yield enqueueOutgoing(restarted, transition.first());
      }
      case PARTITION -> {
        Set<Link> partitioned = new TreeSet<>(state.partitionedLinks());
        Link link = Link.of(transition.first(), transition.second());
        partitioned.add(link);
        List<InFlightMessage<W>> remaining =
            state.inFlight().stream()
                .filter(flight -> !Link.of(flight.from(), flight.to()).equals(link))
                .toList();
        yield new State<>(
            state.now(),
            state.histories(),
            state.downSince(),
            partitioned,
            remaining,
            used.plus(0, 1, 0, 0, 0));
      }
      case HEAL -> {
        Set<Link> partitioned = new TreeSet<>(state.partitionedLinks());
        partitioned.remove(Link.of(transition.first(), transition.second()));
        yield new State<>(
            state.now(), state.histories(), state.downSince(), partitioned, state.inFlight(), used);
      }
      case TICK -> tick(state);
      case ACTION -> {
        State<W, V> charged =
            withMessages(
                state,
                state.histories(),
                state.inFlight(),
                subject.isUpdate(transition.action()) ? used.plus(0, 0, 0, 0, 1) : used);
        yield applyInput(
            charged,
            transition.first(),
            new NodeHistory.Input<>(
                NodeHistory.InputKind.ACTION,
                state.now(),
                null,
                transition.action(),
                used.updates()));
      }
    };
  }

  /**
   * Advances time by one step for all brokers that are up; messages in flight for longer than the
   * maximum delay are lost.
   */
  private State<W, V> tick(State<W, V> state) {
    int now = state.now() + 1;
    List<InFlightMessage<W>> remaining =
        state.inFlight().stream()
            .filter(flight -> now - flight.sentAt() <= budget.maxDelaySteps())
            .toList();
    State<W, V> after =
        new State<>(
            now,
            state.histories(),
            state.downSince(),
            state.partitionedLinks(),
            remaining,
            state.used());
    for (int i = 0; i < BROKER_COUNT; i++) {
      if (state.isUp(i)) {
        after =
            applyInput(
                after, i, new NodeHistory.Input<>(NodeHistory.InputKind.TICK, now, null, null, 0));
      }
    }
    return after;
  }

  private State<W, V> deliverMessage(State<W, V> state, InFlightMessage<W> flight) {
    return applyInput(
        state,
        flight.to(),
        new NodeHistory.Input<>(
            NodeHistory.InputKind.MESSAGE, state.now(), flight.message(), null, 0));
  }

  private State<W, V> applyInput(State<W, V> state, int number, NodeHistory.Input<W> input) {
    List<NodeHistory<W, V>> histories = new ArrayList<>(state.histories());
    histories.set(number, histories.get(number).afterInput(input));
    return enqueueOutgoing(
        withMessages(state, List.copyOf(histories), state.inFlight(), state.used()), number);
  }

  /**
   * Adds the messages that a broker sent in response to its last input to the messages in flight.
   * Messages to unreachable brokers are dropped.
   */
  private State<W, V> enqueueOutgoing(State<W, V> state, int from) {
    List<InFlightMessage<W>> flights = new ArrayList<>(state.inFlight());
    for (NodeHistory.OutgoingMessage<W> outgoing : state.histories().get(from).sent()) {
      if (outgoing.to() != from && state.canReach(from, outgoing.to())) {
        flights.add(
            new InFlightMessage<>(
                from,
                outgoing.to(),
                outgoing.message(),
                state.now(),
                false,
                digests(outgoing.message())));
      }
    }
    return withMessages(state, state.histories(), List.copyOf(flights), state.used());
  }

  private static <W, V> State<W, V> withMessages(
      State<W, V> state,
      List<NodeHistory<W, V>> histories,
      List<InFlightMessage<W>> flights,
      UsedBudget used) {
    return new State<>(
        state.now(), histories, state.downSince(), state.partitionedLinks(), flights, used);
  }

  // Compares references, because an equal message may also be in flight and must not be replaced.
  @SuppressWarnings("ReferenceEquality")
  private static <W, V> List<InFlightMessage<W>> replaceMessage(
      State<W, V> state, InFlightMessage<W> removed, InFlightMessage<W> replacement) {
    List<InFlightMessage<W>> flights = new ArrayList<>();
    for (InFlightMessage<W> flight : state.inFlight()) {
      if (flight != removed) {
        flights.add(flight);
      } else if (replacement != null) {
        flights.add(replacement);
      }
    }
    return List.copyOf(flights);
  }

  /**
   * Returns the smallest of the digests under all symmetries. States that differ only in the names
   * of symmetric brokers therefore have the same digest.
   */
  @Override
  public Digest digest(State<W, V> state) {
    Digest smallest = null;
    for (int i = 0; i < symmetries.size(); i++) {
      Digest digest = digest(state, i);
      smallest = smallest == null || digest.compareTo(smallest) < 0 ? digest : smallest;
    }
    return smallest;
  }

  private Digest digest(State<W, V> state, int symmetry) {
    int[] newNumbers = symmetries.get(symmetry);
    int[] oldNumbers = new int[BROKER_COUNT];
    for (int i = 0; i < BROKER_COUNT; i++) {
      oldNumbers[newNumbers[i]] = i;
    }
    Hasher hasher = Digest.newHasher().putInt(state.now());
    for (int i : oldNumbers) {
      state.histories().get(i).digest(symmetry).putInto(hasher);
      hasher.putInt(state.downSince().get(i));
    }
    Set<Link> partitioned = new TreeSet<>();
    state
        .partitionedLinks()
        .forEach(
            link -> partitioned.add(Link.of(newNumbers[link.lower()], newNumbers[link.higher()])));
    partitioned.forEach(link -> hasher.putInt(link.lower()).putInt(link.higher()));
    hasher.putInt(-1);
    state.inFlight().stream()
        .map(
            flight -> {
              Hasher own =
                  Digest.newHasher()
                      .putInt(newNumbers[flight.from()])
                      .putInt(newNumbers[flight.to()])
                      .putInt(flight.sentAt())
                      .putBoolean(flight.duplicated());
              flight.digests()[symmetry].putInto(own);
              return Digest.of(own);
            })
        .sorted()
        .forEach(digest -> digest.putInto(hasher));
    UsedBudget used = state.used();
    hasher
        .putInt(-1)
        .putInt(used.crashes())
        .putInt(used.partitions())
        .putInt(used.losses())
        .putInt(used.duplicates())
        .putInt(used.updates());
    return Digest.of(hasher);
  }

  @Override
  public Optional<String> safetyViolation(State<W, V> state) {
    return subject.safetyViolation(
        state.histories().stream().map(NodeHistory::observation).toList(), reachableGroups(state));
  }

  /** Groups the brokers that are up by reachability, directly or through other brokers. */
  private static <W, V> List<List<Integer>> reachableGroups(State<W, V> state) {
    List<List<Integer>> groups = new ArrayList<>();
    Set<Integer> grouped = new HashSet<>();
    for (int i = 0; i < BROKER_COUNT; i++) {
      if (state.isUp(i) && grouped.add(i)) {
        Set<Integer> group = new LinkedHashSet<>(Set.of(i));
        for (int round = 0; round < BROKER_COUNT; round++) {
          for (int j = 0; j < BROKER_COUNT; j++) {
            int other = j;
            if (group.stream().anyMatch(member -> state.canReach(member, other))) {
              group.add(j);
            }
          }
        }
        grouped.addAll(group);
        groups.add(List.copyOf(group));
      }
    }
    return groups;
  }

  /**
   * Runs the convergence phase on copies of the nodes: all links heal, messages arrive in the order
   * of sending, time advances, and crashed brokers stay down.
   */
  @Override
  public Optional<String> convergenceViolation(State<W, V> state) {
    List<Integer> live = new ArrayList<>();
    List<Node<W, V>> nodes = new ArrayList<>();
    Deque<NodeHistory.OutgoingMessage<W>> queue = new ArrayDeque<>();
    for (int i = 0; i < BROKER_COUNT; i++) {
      nodes.add(null);
      if (state.isUp(i)) {
        live.add(i);
        boolean[] sending = {false};
        int from = i;
        nodes.set(
            i,
            state
                .histories()
                .get(i)
                .replay(
                    (to, message) -> {
                      if (sending[0] && to != from && state.isUp(to)) {
                        queue.add(new NodeHistory.OutgoingMessage<>(to, message));
                      }
                    },
                    () -> {}));
        sending[0] = true;
      }
    }
    state.inFlight().stream()
        .filter(flight -> state.isUp(flight.to()))
        .forEach(
            flight -> queue.add(new NodeHistory.OutgoingMessage<>(flight.to(), flight.message())));
    return runConvergencePhase(state.now(), live, nodes, queue);
  }

  private Optional<String> runConvergencePhase(
      int startStep,
      List<Integer> live,
      List<Node<W, V>> nodes,
      Deque<NodeHistory.OutgoingMessage<W>> queue) {
    Optional<String> violation = Optional.empty();
    int stableSteps = 0;
    for (int now = startStep; now <= startStep + subject.convergenceSteps(); now++) {
      if (!deliverQueue(now, nodes, queue)) {
        return Optional.of(
            "endless exchange of messages: more than "
                + MAX_DELIVERIES_PER_STEP
                + " deliveries in step "
                + now);
      }
      for (int i : live) {
        for (String action : subject.convergenceActions(i)) {
          nodes.get(i).perform(now, 0, action);
        }
      }
      deliverQueue(now, nodes, queue);
      violation =
          subject.convergenceViolation(
              live.stream().map(i -> nodes.get(i).observe()).toList(), live);
      stableSteps = violation.isEmpty() ? stableSteps + 1 : 0;
      if (stableSteps > subject.stableSteps()) {
        return Optional.empty();
      }
      for (int i : live) {
        nodes.get(i).onTick(now + 1);
      }
    }
    return violation
        .or(
            () ->
                Optional.of(
                    "the brokers converged, but did not remain converged for "
                        + subject.stableSteps()
                        + " further steps"))
        .map(value -> value + ", after " + subject.convergenceSteps() + " steps");
  }

  /**
   * Delivers the queued messages; returns false if messages remain after the maximum number of
   * deliveries.
   */
  private boolean deliverQueue(
      int now, List<Node<W, V>> nodes, Deque<NodeHistory.OutgoingMessage<W>> queue) {
    for (int delivered = 0; delivered < MAX_DELIVERIES_PER_STEP && !queue.isEmpty(); delivered++) {
      NodeHistory.OutgoingMessage<W> outgoing = queue.remove();
      nodes.get(outgoing.to()).onMessage(now, outgoing.message());
    }
    return queue.isEmpty();
  }

  @Override
  public String describe(Transition<W> transition) {
    String one = name(transition.first());
    return switch (transition.kind()) {
      case DELIVER ->
          name(transition.second())
              + " receives from "
              + one
              + ": "
              + subject.describe(transition.message().message());
      case DROP ->
          name(transition.second())
              + " loses a message from "
              + one
              + ": "
              + subject.describe(transition.message().message());
      case DUPLICATE ->
          name(transition.second())
              + " receives the first copy of a duplicated message from "
              + one
              + ": "
              + subject.describe(transition.message().message());
      case CRASH -> one + " crashes";
      case RESTART -> one + " restarts";
      case PARTITION -> one + " and " + name(transition.second()) + " are partitioned";
      case HEAL -> one + " and " + name(transition.second()) + " are connected again";
      case TICK -> "time advances by one step";
      case ACTION -> one + ": " + transition.action();
    };
  }
}

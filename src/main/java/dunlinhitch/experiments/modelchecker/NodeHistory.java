package dunlinhitch.experiments.modelchecker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * The input history of one incarnation of a node, with the messages that the node sent in response
 * to the last input and the observation after that input. A module is mutable and cannot be copied;
 * replaying the history on a new module yields a copy. Equal histories share one object, so that
 * each history is replayed only once. Thread-safe.
 */
final class NodeHistory<W, V> {
  enum InputKind {
    TICK,
    MESSAGE,
    ACTION
  }

  /** An input to a node; {@code message} and {@code action} are null unless the kind needs them. */
  record Input<W>(InputKind kind, int now, W message, String action, int order) {
    void applyTo(Node<W, ?> node) {
      switch (kind) {
        case TICK -> node.onTick(now);
        case MESSAGE -> node.onMessage(now, message);
        case ACTION -> node.perform(now, order, action);
      }
    }
  }

  /** A message to broker {@code to}. */
  record OutgoingMessage<W>(int to, W message) {}

  private final Function<Node.MessageSender<W>, Node<W, V>> nodeFactory;
  private final Function<Object, Digest[]> stateDigests;
  private final NodeHistory<W, V> previous;
  private final Input<W> lastInput;
  private final V observation;
  private final List<OutgoingMessage<W>> sent;
  private final Digest[] digests;
  private final Map<Input<W>, NodeHistory<W, V>> successors = new ConcurrentHashMap<>(2);

  /**
   * Creates a history without inputs; {@code stateDigests} computes the digests of the state of a
   * node under all symmetries.
   */
  NodeHistory(
      Function<Node.MessageSender<W>, Node<W, V>> nodeFactory,
      Function<Object, Digest[]> stateDigests) {
    this(nodeFactory, stateDigests, null, null);
  }

  private NodeHistory(
      Function<Node.MessageSender<W>, Node<W, V>> nodeFactory,
      Function<Object, Digest[]> stateDigests,
      NodeHistory<W, V> previous,
      Input<W> lastInput) {
    this.nodeFactory = nodeFactory;
    this.stateDigests = stateDigests;
    this.previous = previous;
    this.lastInput = lastInput;
    List<OutgoingMessage<W>> messages = new ArrayList<>();
    Node<W, V> node =
        replay((to, message) -> messages.add(new OutgoingMessage<>(to, message)), messages::clear);
    sent = List.copyOf(messages);
    observation = node.observe();
    digests = stateDigests.apply(node.state());
  }

  /** Returns the history extended by one input. */
  NodeHistory<W, V> afterInput(Input<W> input) {
    NodeHistory<W, V> existing = successors.get(input);
    if (existing == null) {
      NodeHistory<W, V> created = new NodeHistory<>(nodeFactory, stateDigests, this, input);
      existing = successors.putIfAbsent(input, created);
      existing = existing == null ? created : existing;
    }
    return existing;
  }

  /**
   * Creates a module, replays the history on it and returns the module. {@code beforeLastInput}
   * runs before the last input, so that a caller can discard messages that were sent earlier.
   */
  Node<W, V> replay(Node.MessageSender<W> sender, Runnable beforeLastInput) {
    List<Input<W>> inputs = new ArrayList<>();
    for (NodeHistory<W, V> history = this; history.lastInput != null; history = history.previous) {
      inputs.add(history.lastInput);
    }
    Node<W, V> node = nodeFactory.apply(sender);
    for (int i = inputs.size() - 1; i >= 0; i--) {
      if (i == 0) {
        beforeLastInput.run();
      }
      inputs.get(i).applyTo(node);
    }
    return node;
  }

  V observation() {
    return observation;
  }

  List<OutgoingMessage<W>> sent() {
    return sent;
  }

  Digest digest(int symmetry) {
    return digests[symmetry];
  }
}

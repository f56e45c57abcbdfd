package dunlinhitch.experiments.modelchecker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * One life of one broker's module: what it was fed since its start, what it said to the last of it,
 * and what can be seen of it now. A module changes as it is fed and can not be copied; a new one
 * that is fed the same is the copy. Lives that were fed the same are one object, whatever went on
 * elsewhere meanwhile, so each is made and reckoned once.
 */
final class NodeHistory<W, V> {
  enum InputKind {
    TICK,
    MESSAGE,
    ACTION
  }

  /** What a module was fed; {@code message} and {@code action} as the kind has them, else null. */
  record Input<W>(InputKind kind, int now, W message, String action, int order) {
    void applyTo(Node<W, ?> node) {
      switch (kind) {
        case TICK -> node.onTick(now);
        case MESSAGE -> node.onMessage(now, message);
        case ACTION -> node.perform(now, order, action);
      }
    }
  }

  /** A word on its way out. */
  record OutgoingMessage<W>(int to, W message) {}

  private final Function<Node.MessageSender<W>, Node<W, V>> nodeFactory;
  private final Function<Object, Digest[]> stateDigests;
  private final NodeHistory<W, V> previous;
  private final Input<W> lastInput;
  private final V observation;
  private final List<OutgoingMessage<W>> sent;
  private final Digest[] digests;
  private final Map<Input<W>, NodeHistory<W, V>> successors = new ConcurrentHashMap<>(2);

  /** A life that begins; {@code digester} returns the state's digest under each symmetry. */
  NodeHistory(
      Function<Node.MessageSender<W>, Node<W, V>> birth, Function<Object, Digest[]> digester) {
    this(birth, digester, null, null);
  }

  private NodeHistory(
      Function<Node.MessageSender<W>, Node<W, V>> birth,
      Function<Object, Digest[]> digester,
      NodeHistory<W, V> before,
      Input<W> last) {
    this.nodeFactory = birth;
    this.stateDigests = digester;
    this.previous = before;
    this.lastInput = last;
    List<OutgoingMessage<W>> words = new ArrayList<>();
    Node<W, V> node =
        replay((to, word) -> words.add(new OutgoingMessage<>(to, word)), words::clear);
    sent = List.copyOf(words);
    observation = node.observe();
    digests = digester.apply(node.state());
  }

  /** The same life with one thing more. */
  NodeHistory<W, V> afterInput(Input<W> input) {
    NodeHistory<W, V> known = successors.get(input);
    if (known == null) {
      NodeHistory<W, V> made = new NodeHistory<>(nodeFactory, stateDigests, this, input);
      known = successors.putIfAbsent(input, made);
      known = known == null ? made : known;
    }
    return known;
  }

  /**
   * A module of its own, fed all of this; {@code quiet} is called before the last, for what was
   * said until then was said before.
   */
  Node<W, V> replay(Node.MessageSender<W> mouth, Runnable quiet) {
    List<Input<W>> inputs = new ArrayList<>();
    for (NodeHistory<W, V> at = this; at.lastInput != null; at = at.previous) {
      inputs.add(at.lastInput);
    }
    Node<W, V> node = nodeFactory.apply(mouth);
    for (int i = inputs.size() - 1; i >= 0; i--) {
      if (i == 0) {
        quiet.run();
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

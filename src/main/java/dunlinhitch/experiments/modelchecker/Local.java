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
final class Local<W, V> {
  enum Feed {
    PASSED,
    HEARD,
    ACT
  }

  /** What a module was fed; {@code word} and {@code act} as the kind has them, else null. */
  record Input<W>(Feed feed, int now, W word, String act, int order) {
    void to(Node<W, ?> node) {
      switch (feed) {
        case PASSED -> node.passed(now);
        case HEARD -> node.heard(now, word);
        case ACT -> node.act(now, order, act);
      }
    }
  }

  /** A word on its way out. */
  record Said<W>(int to, W word) {}

  private final Function<Node.Mouth<W>, Node<W, V>> birth;
  private final Function<Object, Digest[]> digester;
  private final Local<W, V> before;
  private final Input<W> last;
  private final V seen;
  private final List<Said<W>> said;
  private final Digest[] digests;
  private final Map<Input<W>, Local<W, V>> after = new ConcurrentHashMap<>(2);

  /** A life that begins; {@code digester} returns the state's digest under each symmetry. */
  Local(Function<Node.Mouth<W>, Node<W, V>> birth, Function<Object, Digest[]> digester) {
    this(birth, digester, null, null);
  }

  private Local(
      Function<Node.Mouth<W>, Node<W, V>> birth,
      Function<Object, Digest[]> digester,
      Local<W, V> before,
      Input<W> last) {
    this.birth = birth;
    this.digester = digester;
    this.before = before;
    this.last = last;
    List<Said<W>> words = new ArrayList<>();
    Node<W, V> node = again((to, word) -> words.add(new Said<>(to, word)), words::clear);
    said = List.copyOf(words);
    seen = node.seen();
    digests = digester.apply(node.state());
  }

  /** The same life with one thing more. */
  Local<W, V> fed(Input<W> input) {
    Local<W, V> known = after.get(input);
    if (known == null) {
      Local<W, V> made = new Local<>(birth, digester, this, input);
      known = after.putIfAbsent(input, made);
      known = known == null ? made : known;
    }
    return known;
  }

  /**
   * A module of its own, fed all of this; {@code quiet} is called before the last, for what was
   * said until then was said before.
   */
  Node<W, V> again(Node.Mouth<W> mouth, Runnable quiet) {
    List<Input<W>> inputs = new ArrayList<>();
    for (Local<W, V> at = this; at.last != null; at = at.before) {
      inputs.add(at.last);
    }
    Node<W, V> node = birth.apply(mouth);
    for (int i = inputs.size() - 1; i >= 0; i--) {
      if (i == 0) {
        quiet.run();
      }
      inputs.get(i).to(node);
    }
    return node;
  }

  V seen() {
    return seen;
  }

  List<Said<W>> said() {
    return said;
  }

  Digest digest(int symmetry) {
    return digests[symmetry];
  }
}

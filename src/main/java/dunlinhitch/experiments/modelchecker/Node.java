package dunlinhitch.experiments.modelchecker;

/**
 * The module of one broker as driven by a model. It is mutable; the model copies it by replaying
 * its inputs on a new one. Times are steps of the model.
 *
 * @param <W> the message type
 * @param <V> the observation of the node
 */
public interface Node<W, V> {
  /** Sends messages to the broker with a number. */
  interface MessageSender<W> {
    /** Sends a message to that broker. */
    void send(int to, W message);
  }

  /** Time has advanced to that step. */
  void onTick(int now);

  /** A message has arrived. */
  void onMessage(int now, W message);

  /**
   * Performs an action of its own; {@code order} is the number of updates that all brokers have
   * published before.
   */
  void perform(int now, int order, String action);

  /** An immutable snapshot of what is visible from outside. */
  V observe();

  /** All state that the future behaviour depends on, see {@link StateHasher}. */
  Object state();
}

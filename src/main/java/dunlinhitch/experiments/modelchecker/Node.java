package dunlinhitch.experiments.modelchecker;

/**
 * The module of one broker under the control of a model. A node is mutable; the model copies a node
 * by replaying its inputs on a new node. All times are steps of the model.
 *
 * @param <W> the message type
 * @param <V> the observation of the node
 */
public interface Node<W, V> {
  /** Sends messages of a node to other brokers. */
  interface MessageSender<W> {
    /** Sends a message to broker {@code to}. */
    void send(int to, W message);
  }

  /** Called when time advances to step {@code now}. */
  void onTick(int now);

  /** Called when a message arrives. */
  void onMessage(int now, W message);

  /**
   * Performs one of the {@link Subject#actions actions} of the node; {@code order} is the number of
   * updates that all brokers together published before this action.
   */
  void perform(int now, int order, String action);

  /** Returns an immutable snapshot of the externally visible state. */
  V observe();

  /** Returns all state that future behaviour depends on, to be hashed by {@link StateHasher}. */
  Object state();
}

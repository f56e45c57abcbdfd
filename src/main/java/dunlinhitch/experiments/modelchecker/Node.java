package dunlinhitch.experiments.modelchecker;

/**
 * The module of one broker as a model feeds it: {@code W} is a word to another, {@code V} what can
 * be seen of it. It may change with each call; the model makes copies by feeding a new one the
 * same. Times are steps of the model.
 */
public interface Node<W, V> {
  /** Where its words go: to the broker of that number. */
  interface MessageSender<W> {
    void send(int to, W word);
  }

  void onTick(int now);

  void onMessage(int now, W word);

  /**
   * It does something of its own accord; {@code order} is the count of such acts of all brokers
   * that said something new.
   */
  void perform(int now, int order, String what);

  /** Does not change any more. */
  V observe();

  /** All that what it does next depends on, see {@link StateHasher}. */
  Object state();
}

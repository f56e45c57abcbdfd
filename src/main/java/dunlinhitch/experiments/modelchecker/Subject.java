package dunlinhitch.experiments.modelchecker;

import java.util.List;
import java.util.Optional;

/**
 * Adapts a module for {@link ClusterModel}, which runs one instance of it in each broker. Broker i
 * has the name and the host {@code n} followed by its number, such as {@code n0}.
 *
 * @param <W> the message type
 * @param <V> the observation of a node
 */
public interface Subject<W, V> {
  /** Starts broker {@code number} without any state about the others. */
  Node<W, V> start(int number, int now, Node.MessageSender<W> sender);

  /**
   * Returns the permutations of the broker numbers under which behaviour is unchanged: {@code p[i]}
   * is the new number of broker i. The first is the identity.
   */
  List<int[]> symmetries();

  /** Returns the actions that a broker may perform without an external input. */
  List<String> actions(int number);

  /** Returns whether an action publishes an update; the budget limits the number of updates. */
  boolean isUpdate(String action);

  /** Returns the actions that a broker performs in each step of the convergence phase. */
  List<String> convergenceActions(int number);

  /**
   * Returns the description of a violated safety property, or empty. The observation of a crashed
   * broker is the last one before the crash. {@code groups} lists the brokers that are up, grouped
   * by reachability.
   */
  Optional<String> safetyViolation(List<V> observations, List<List<Integer>> groups);

  /** Returns the reason why the live brokers have not converged, or empty if they have. */
  Optional<String> convergenceViolation(List<V> liveObservations, List<Integer> numbers);

  /**
   * Returns the number of steps within which the brokers must converge and then remain converged
   * for {@link #stableSteps} further steps.
   */
  int convergenceSteps();

  /** Returns the number of further steps for which the brokers must remain converged. */
  int stableSteps();

  /** Returns a message as text. */
  String describe(W message);
}

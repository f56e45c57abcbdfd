package dunlinhitch.experiments.modelchecker;

import java.util.List;
import java.util.Optional;

/**
 * Adapts a module for {@link ClusterModel}, which runs it in each of a few brokers. Broker i has
 * the name {@code ni} and the host of the same name.
 *
 * @param <W> the message type
 * @param <V> the observation of a node
 */
public interface Subject<W, V> {
  /** Starts the broker with that number and without any knowledge of the others. */
  Node<W, V> start(int number, int now, Node.MessageSender<W> mouth);

  /**
   * Permutations of the broker numbers under which the behaviour is unchanged: {@code p[i]} is the
   * new number of broker i. The first is the identity.
   */
  List<int[]> symmetries();

  /** The actions that a broker may perform of its own. */
  List<String> actions(int number);

  /** Whether an action publishes an update; the budget bounds updates. */
  boolean isUpdate(String act);

  /** The actions of each broker in each step of the convergence phase. */
  List<String> convergenceActions(int number);

  /**
   * A safety property that is violated, or empty. A crashed broker counts with its last
   * observation; {@code sides} groups the brokers that are up by reachability.
   */
  Optional<String> safetyViolation(List<V> observations, List<List<Integer>> sides);

  /** Why the live brokers have not converged, or empty. */
  Optional<String> convergenceViolation(List<V> liveObservations, List<Integer> numbers);

  /** The number of steps within which all must have converged for {@link #stableSteps} steps. */
  int convergenceSteps();

  /** The number of steps for which convergence must last. */
  int stableSteps();

  /** A message as text. */
  String describe(W message);
}

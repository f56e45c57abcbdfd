package dunlinhitch.experiments.modelchecker;

import java.util.List;
import java.util.Optional;

/**
 * What {@link ClusterModel} needs to know of a module to run it in each of a few brokers. Broker i
 * has the name {@code ni}, and its host is named the same.
 */
public interface Subject<W, V> {
  /** A broker of that number starts, with nothing known. */
  Node<W, V> start(int number, int now, Node.MessageSender<W> mouth);

  /**
   * Changes of the brokers' numbers after which all goes on as it would have but for the numbers:
   * {@code p[i]} is what broker i becomes. The first changes nothing.
   */
  List<int[]> symmetries();

  /** What a broker may do of its own accord. */
  List<String> actions(int number);

  /** Whether that says something new: of those there is a most. */
  boolean isUpdate(String act);

  /** What each does in each step of the calm ending. */
  List<String> convergenceActions(int number);

  /**
   * What must hold and does not: {@code seen} of all brokers, of one that is down as it was last;
   * {@code sides}: those that are up, by whom they reach.
   */
  Optional<String> safetyViolation(List<V> seen, List<List<Integer>> sides);

  /** What is not yet well of those that are up. */
  Optional<String> convergenceViolation(List<V> live, List<Integer> numbers);

  /** Within so many steps all must have settled for {@code lasting} of them. */
  int convergenceSteps();

  int stableSteps();

  String describe(W word);
}

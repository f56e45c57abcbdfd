package dunlinhitch.experiments.modelchecker;

import java.util.List;
import java.util.Optional;

/**
 * What an {@link Explorer} goes through: states that never change, and the moves that lead from one
 * to others. All methods are functions of their arguments and may be called from several threads.
 */
public interface Model<S, M> {
  S initialState();

  /** All that can happen next, in an order of its own. */
  List<M> transitions(S state);

  S successor(S state, M move);

  /** The same for states that are the same but for the names in them, and for no others. */
  Digest digest(S state);

  /** What must hold in each state and does not, or empty. */
  Optional<String> safetyViolation(S state);

  /** What is still wrong after the calm ending, in which troubles end and time passes, or empty. */
  Optional<String> convergenceViolation(S state);

  /** A move in words. */
  default String describe(M move) {
    return move.toString();
  }
}

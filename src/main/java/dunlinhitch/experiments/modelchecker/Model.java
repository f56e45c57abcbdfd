package dunlinhitch.experiments.modelchecker;

import java.util.List;
import java.util.Optional;

/**
 * A transition system for an {@link Explorer}: immutable states and the transitions between them.
 * All methods are pure functions and may be called from several threads.
 *
 * @param <S> the state type
 * @param <M> the transition type
 */
public interface Model<S, M> {
  /** The state in which every execution begins. */
  S initialState();

  /** The transitions enabled in a state, in a deterministic order. */
  List<M> transitions(S state);

  /** The state after a transition. */
  S successor(S state, M move);

  /** A digest that is equal exactly for states that differ only in the names of symmetric nodes. */
  Digest digest(S state);

  /** A safety property that the state violates, or empty. */
  Optional<String> safetyViolation(S state);

  /**
   * A property that still fails after the convergence phase, in which faults end and time advances,
   * or empty.
   */
  Optional<String> convergenceViolation(S state);

  /** A transition as text. */
  default String describe(M move) {
    return move.toString();
  }
}

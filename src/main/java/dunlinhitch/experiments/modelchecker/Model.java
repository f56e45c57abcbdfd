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
  /** Returns the state in which every execution begins. */
  S initialState();

  /** Returns the transitions enabled in a state, in a deterministic order. */
  List<M> transitions(S state);

  /** Returns the state after a transition. */
  S successor(S state, M transition);

  /**
   * Returns a digest. Two states have the same digest exactly if they are equal apart from the
   * names of symmetric nodes.
   */
  Digest digest(S state);

  /** Returns the description of a safety property that the state violates, or empty. */
  Optional<String> safetyViolation(S state);

  /**
   * Runs the convergence phase, in which faults end and time advances, and returns the description
   * of a property that is still violated at the end of the phase, or empty.
   */
  Optional<String> convergenceViolation(S state);

  /** Returns a transition as text. */
  default String describe(M transition) {
    return transition.toString();
  }
}

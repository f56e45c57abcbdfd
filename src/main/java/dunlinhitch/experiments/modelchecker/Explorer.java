package dunlinhitch.experiments.modelchecker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Explores the states of a model in breadth-first order, visits each once and checks its
 * properties. A reported trace is therefore one of the shortest, and a report without a violation
 * covers all states up to its depth. Successors and checks are computed on all cores and merged in
 * a fixed order, so that the same model and limits give the same report.
 *
 * @param <S> the state type
 * @param <M> the transition type
 */
public final class Explorer<S, M> {
  /** Number of states that are expanded in parallel before their results are merged. */
  private static final int CHUNK_STATES = 2_000;

  /**
   * Bounds of an exploration.
   *
   * @param depth the maximum number of transitions from the initial state
   * @param states the maximum number of distinct states
   */
  public record Limits(int depth, int states) {
    /** Validates the bounds. */
    public Limits {
      if (depth < 0 || states < 1) {
        throw new IllegalArgumentException(
            "depth must be at least 0 and states at least 1: depth "
                + depth
                + ", states "
                + states);
      }
    }
  }

  /** A violated property and the transitions that lead to the violation, as text. */
  public record Violation(String description, List<String> trace) {}

  /**
   * The result of an exploration.
   *
   * @param states the number of distinct states
   * @param transitions the number of transitions taken
   * @param depth the depth up to which all states were explored
   * @param violation the first violation, or empty
   */
  public record Report(int states, long transitions, int depth, Optional<Violation> violation) {}

  /**
   * The predecessor and the transition that first reached a state; the initial state has no
   * transition.
   */
  private record Step<M>(int predecessor, M transition) {}

  /** A state whose transitions have not been taken yet. */
  private record Unexplored<S>(int number, S state) {}

  /** A successor state, or the description of the exception that its computation threw. */
  private record Successor<S, M>(
      int predecessor, M transition, S state, Digest digest, String failure) {}

  private final Model<S, M> model;
  private final Limits limits;
  private final Set<Digest> visited = new HashSet<>();
  private final List<Step<M>> steps = new ArrayList<>();
  private long transitionCount;
  private Violation violation;

  private Explorer(Model<S, M> model, Limits limits) {
    this.model = model;
    this.limits = limits;
  }

  /** Explores a model within the limits and returns what was found. */
  public static <S, M> Report explore(Model<S, M> model, Limits limits) {
    return new Explorer<>(model, limits).run();
  }

  private Report run() {
    S start = model.initialState();
    visited.add(model.digest(start));
    steps.add(new Step<>(-1, null));
    List<Unexplored<S>> layer = List.of(new Unexplored<>(0, start));
    checkStates(layer);
    int depth = 0;
    while (violation == null && depth < limits.depth()) {
      List<Unexplored<S>> next = new ArrayList<>();
      for (int from = 0; from < layer.size() && violation == null; from += CHUNK_STATES) {
        List<Unexplored<S>> newStates =
            expand(layer.subList(from, Math.min(from + CHUNK_STATES, layer.size())));
        checkStates(newStates);
        next.addAll(newStates);
        if (steps.size() >= limits.states()) {
          return report(depth);
        }
      }
      if (violation == null) {
        depth++;
        layer = next;
      }
    }
    return report(depth);
  }

  private Report report(int depth) {
    return new Report(steps.size(), transitionCount, depth, Optional.ofNullable(violation));
  }

  private List<Unexplored<S>> expand(List<Unexplored<S>> chunk) {
    List<List<Successor<S, M>>> successors = chunk.parallelStream().map(this::successors).toList();
    List<Unexplored<S>> newStates = new ArrayList<>();
    for (List<Successor<S, M>> ofOneState : successors) {
      for (Successor<S, M> next : ofOneState) {
        transitionCount++;
        if (next.failure() != null || visited.add(next.digest())) {
          steps.add(new Step<>(next.predecessor(), next.transition()));
          if (next.failure() != null) {
            recordViolation(next.failure(), steps.size() - 1);
            return newStates;
          }
          newStates.add(new Unexplored<>(steps.size() - 1, next.state()));
          if (steps.size() >= limits.states()) {
            return newStates;
          }
        }
      }
    }
    return newStates;
  }

  private List<Successor<S, M>> successors(Unexplored<S> unexplored) {
    List<Successor<S, M>> successors = new ArrayList<>();
    for (M transition : model.transitions(unexplored.state())) {
      try {
        S state = model.successor(unexplored.state(), transition);
        successors.add(
            new Successor<>(unexplored.number(), transition, state, model.digest(state), null));
      } catch (RuntimeException e) { // an exception of the module is reported as a violation
        successors.add(
            new Successor<>(
                unexplored.number(), transition, null, null, "exception in a transition: " + e));
      }
    }
    return successors;
  }

  /**
   * Checks the states in order and records the first violation. {@link #expand} may already have
   * recorded an exception in a transition. That transition was taken after these states were
   * reached, so that a violation found here replaces the recorded one.
   */
  private void checkStates(List<Unexplored<S>> newStates) {
    List<Optional<String>> violations =
        newStates.parallelStream().map(unexplored -> findViolation(unexplored.state())).toList();
    for (int i = 0; i < violations.size(); i++) {
      if (violations.get(i).isPresent()) {
        recordViolation(violations.get(i).get(), newStates.get(i).number());
        return;
      }
    }
  }

  private Optional<String> findViolation(S state) {
    try {
      return model
          .safetyViolation(state)
          .or(
              () ->
                  model
                      .convergenceViolation(state)
                      .map(description -> "after the convergence phase: " + description));
    } catch (RuntimeException e) { // an exception of a check is reported as a violation
      return Optional.of("exception in a check: " + e);
    }
  }

  private void recordViolation(String description, int number) {
    Deque<String> trace = new ArrayDeque<>();
    for (int at = number; steps.get(at).predecessor() >= 0; at = steps.get(at).predecessor()) {
      trace.addFirst(model.describe(steps.get(at).transition()));
    }
    violation = new Violation(description, List.copyOf(trace));
  }
}

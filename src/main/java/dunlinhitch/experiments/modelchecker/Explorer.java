package dunlinhitch.experiments.modelchecker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Goes through the states of a model breadth first, each once, and checks each. So what it finds
 * has the fewest moves that lead to it, and where it finds nothing there is nothing up to that
 * depth. Successors and checks are reckoned on all cores, but taken in one order: the same model
 * and limits give the same report.
 */
public final class Explorer<S, M> {
  private static final int CHUNK = 2_000;

  /** How far it goes: so many moves deep, and so many states at the most. */
  public record Limits(int depth, int states) {
    public Limits {
      if (depth < 0 || states < 1) {
        throw new IllegalArgumentException(
            "a depth from 0 and one state or more: " + depth + ", " + states);
      }
    }
  }

  /** What is wrong, and the moves that lead to it, in words. */
  public record Found(String wrong, List<String> trace) {}

  /**
   * What was gone through.
   *
   * @param states different ones
   * @param moves that were tried from them
   * @param depth up to which all was gone through
   * @param found the first that is wrong, or empty
   */
  public record Report(int states, long moves, int depth, Optional<Found> found) {}

  /** How a state was come to; the beginning has no move. */
  private record Step<M>(int before, M move) {}

  private record Open<S>(int number, S state) {}

  /** A successor, or what making it threw. */
  private record Next<S, M>(int before, M move, S state, Digest digest, String thrown) {}

  private final Model<S, M> model;
  private final Limits limits;
  private final Set<Digest> seen = new HashSet<>();
  private final List<Step<M>> steps = new ArrayList<>();
  private long moves;
  private Found found;

  private Explorer(Model<S, M> model, Limits limits) {
    this.model = model;
    this.limits = limits;
  }

  public static <S, M> Report explore(Model<S, M> model, Limits limits) {
    return new Explorer<>(model, limits).run();
  }

  private Report run() {
    S start = model.start();
    seen.add(model.digest(start));
    steps.add(new Step<>(-1, null));
    List<Open<S>> layer = List.of(new Open<>(0, start));
    check(layer);
    int depth = 0;
    while (found == null && depth < limits.depth()) {
      List<Open<S>> next = new ArrayList<>();
      for (int from = 0; from < layer.size() && found == null; from += CHUNK) {
        List<Open<S>> fresh = expand(layer.subList(from, Math.min(from + CHUNK, layer.size())));
        check(fresh);
        next.addAll(fresh);
        if (steps.size() >= limits.states()) {
          return report(depth);
        }
      }
      if (found == null) {
        depth++;
        layer = next;
      }
    }
    return report(depth);
  }

  private Report report(int depth) {
    return new Report(steps.size(), moves, depth, Optional.ofNullable(found));
  }

  private List<Open<S>> expand(List<Open<S>> chunk) {
    List<List<Next<S, M>>> all = chunk.parallelStream().map(this::successors).toList();
    List<Open<S>> fresh = new ArrayList<>();
    for (List<Next<S, M>> some : all) {
      for (Next<S, M> next : some) {
        moves++;
        if (next.thrown() != null || seen.add(next.digest())) {
          steps.add(new Step<>(next.before(), next.move()));
          if (next.thrown() != null) {
            find(next.thrown(), steps.size() - 1);
            return fresh;
          }
          fresh.add(new Open<>(steps.size() - 1, next.state()));
          if (steps.size() >= limits.states()) {
            return fresh;
          }
        }
      }
    }
    return fresh;
  }

  private List<Next<S, M>> successors(Open<S> open) {
    List<Next<S, M>> all = new ArrayList<>();
    for (M move : model.moves(open.state())) {
      try {
        S state = model.after(open.state(), move);
        all.add(new Next<>(open.number(), move, state, model.digest(state), null));
      } catch (RuntimeException e) {
        all.add(new Next<>(open.number(), move, null, null, "threw " + e));
      }
    }
    return all;
  }

  /** Finds the first of these that is wrong; a move that threw comes after all of them. */
  private void check(List<Open<S>> fresh) {
    List<Optional<String>> wrongs =
        fresh.parallelStream().map(open -> wrong(open.state())).toList();
    for (int i = 0; i < wrongs.size(); i++) {
      if (wrongs.get(i).isPresent()) {
        find(wrongs.get(i).get(), fresh.get(i).number());
        return;
      }
    }
  }

  private Optional<String> wrong(S state) {
    try {
      return model
          .broken(state)
          .or(() -> model.unsettled(state).map(what -> "after the calm ending: " + what));
    } catch (RuntimeException e) {
      return Optional.of("threw " + e);
    }
  }

  private void find(String wrong, int number) {
    Deque<String> trace = new ArrayDeque<>();
    for (int at = number; steps.get(at).before() >= 0; at = steps.get(at).before()) {
      trace.addFirst(model.told(steps.get(at).move()));
    }
    found = new Found(wrong, List.copyOf(trace));
  }
}

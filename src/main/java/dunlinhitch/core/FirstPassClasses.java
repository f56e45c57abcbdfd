package dunlinhitch.core;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.twophase.TwoPhaseSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Defines, for each query class that uses two phases, the additional class under which the load
 * balancer handles its first passes. Owned by the reducer; not thread-safe.
 *
 * <p>The priority weight of the additional class is that of the query class times the relative cost
 * of a first pass. Under overload, the load balancer sheds work with a low ratio of weight to cost.
 * A first pass costs little; with the full weight of its query class, its ratio would be so high
 * that the load balancer would shed full passes in its place.
 */
final class FirstPassClasses {
  private static final String NAME_SUFFIX = "#first";

  /** Assumed cost of a first pass relative to a full pass, used until the first measurement. */
  private static final double INITIAL_RELATIVE_COST = 0.1;

  /** Lower bound for the relative cost; smaller measurements are clamped. */
  private static final double MINIMUM_RELATIVE_COST = 0.001;

  /** Factor by which the relative cost must change before the settings are published again. */
  private static final double COST_CHANGE_FACTOR = 1.25;

  private final TurnContext context;
  private final List<TwoPhaseSettings> settings;
  private final Map<String, Double> relativeCosts = new HashMap<>();

  FirstPassClasses(TurnContext context, List<TwoPhaseSettings> settings) {
    this.context = context;
    this.settings = List.copyOf(settings);
  }

  /** Returns the settings with the first-pass classes appended to the configured classes. */
  Settings addTo(Settings configured) {
    List<QueryClass> classes = new ArrayList<>(configured.classes());
    for (TwoPhaseSettings twoPhase : settings) {
      configured.classes().stream()
          .filter(queryClass -> queryClass.name().equals(twoPhase.queryClass()))
          .findFirst()
          .ifPresent(queryClass -> classes.add(firstPassOf(queryClass)));
    }
    return configured.withClasses(classes);
  }

  private QueryClass firstPassOf(QueryClass queryClass) {
    return new QueryClass(
        queryClass.name() + NAME_SUFFIX,
        queryClass.latencyObjectiveUs(),
        0,
        queryClass.deadlineUs(),
        Idempotency.FREE,
        0,
        0,
        queryClass.priorityWeight() * relativeCost(queryClass.name()),
        false,
        0,
        0,
        1,
        1);
  }

  private double relativeCost(String queryClass) {
    return relativeCosts.computeIfAbsent(queryClass, name -> INITIAL_RELATIVE_COST);
  }

  /**
   * Records a measured cost; returns true if it differs enough that the settings must be published
   * again.
   *
   * @param measured cost of a first pass relative to a full pass; 0 while unknown
   */
  boolean updateRelativeCost(String queryClass, double measured) {
    double cost = Math.max(MINIMUM_RELATIVE_COST, measured);
    double published = relativeCost(queryClass);
    boolean changed =
        measured > 0
            && (cost > published * COST_CHANGE_FACTOR || cost < published / COST_CHANGE_FACTOR);
    if (changed) {
      relativeCosts.put(queryClass, cost);
    }
    return changed;
  }

  /** Returns the index of the additional class for the first passes of the given class, or -1. */
  int indexOf(String queryClass) {
    int index = context.settings().classes().size();
    for (TwoPhaseSettings twoPhase : settings) {
      if (context.classIndex(twoPhase.queryClass()) >= 0) {
        if (twoPhase.queryClass().equals(queryClass)) {
          return index;
        }
        index++;
      }
    }
    return -1;
  }
}

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
 * The additional class that the load balancer receives for the first passes of each class in two
 * phases. Owned by the reducer; not thread-safe.
 *
 * <p>Its priority weight is that of the class times the relative cost of a first pass. The load
 * balancer sheds what brings little weight for its work; beside first passes that seemed to bring
 * the full weight for almost no work, it would shed full passes.
 */
final class FirstPassClasses {
  private static final String NAME_SUFFIX = "#first";

  /** Cost of a first pass relative to a full one, before anything is measured. */
  private static final double INITIAL_RELATIVE_COST = 0.1;

  /** The lowest relative cost that is believed. */
  private static final double MINIMUM_RELATIVE_COST = 0.001;

  /** By which factor a cost has to change before the load balancer receives it. */
  private static final double COST_CHANGE_FACTOR = 1.25;

  private final TurnContext context;
  private final List<TwoPhaseSettings> settings;
  private final Map<String, Double> relativeCosts = new HashMap<>();

  FirstPassClasses(TurnContext context, List<TwoPhaseSettings> settings) {
    this.context = context;
    this.settings = List.copyOf(settings);
  }

  /** The same settings with a class for each first pass after the classes of the configuration. */
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
   * Records a measured cost; true where it differs enough for the settings to be published again.
   *
   * @param measured cost of a first pass relative to a full one, 0 while unknown
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

  /** The index of the class for the first passes of that class, or -1. */
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

package dunlinhitch.core;

import dunlinhitch.twophase.TwoPhasePlan;
import dunlinhitch.twophase.TwoPhasePlanner;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Logs when the queries of a class switch between one and two phases, and why. Reasons that apply
 * only to a single query are not logged. Owned by the reducer; not thread-safe.
 */
final class TwoPhaseModeLog {
  /** Minimum time between two log lines about the same class, in microseconds. */
  private static final long MINIMUM_INTERVAL_US = 10_000_000;

  private record LoggedMode(TwoPhasePlan.Reason reason, long atUs) {}

  private final TurnContext context;
  private final TwoPhasePlanner planner;
  private final Map<String, LoggedMode> lastByClass = new HashMap<>();

  TwoPhaseModeLog(TurnContext context, TwoPhasePlanner planner) {
    this.context = context;
    this.planner = planner;
  }

  /** Handles a planned query of the class, with the reason for the plan. */
  void onPlanned(String queryClass, TwoPhasePlan.Reason reason) {
    if (concernsSingleQuery(reason) || wasLogged(queryClass, reason)) {
      return;
    }
    lastByClass.put(queryClass, new LoggedMode(reason, context.nowUs()));
    planner.status(context.nowUs()).stream()
        .filter(statistics -> statistics.queryClass().equals(queryClass))
        .forEach(statistics -> log(queryClass, reason, statistics));
  }

  private static boolean concernsSingleQuery(TwoPhasePlan.Reason reason) {
    return switch (reason) {
      case TRIAL, FEW_BLOCKS, KNOWN_FULL, TOO_LITTLE_TIME -> true;
      default -> false;
    };
  }

  private boolean wasLogged(String queryClass, TwoPhasePlan.Reason reason) {
    LoggedMode last = lastByClass.get(queryClass);
    return last != null
        && (last.reason() == reason || context.nowUs() < last.atUs() + MINIMUM_INTERVAL_US);
  }

  private void log(
      String queryClass, TwoPhasePlan.Reason reason, TwoPhasePlanner.ClassStatus statistics) {
    context.log(
        String.format(
            Locale.ROOT,
            "queries of class %s now run in %s: %s"
                + " (share of empty blocks %.2f, relative cost of a first pass %.2f)",
            queryClass,
            reason == TwoPhasePlan.Reason.TWO_PHASES ? "two phases" : "one phase",
            describe(reason),
            statistics.emptyShare(),
            statistics.costRatio()));
  }

  private static String describe(TwoPhasePlan.Reason reason) {
    return switch (reason) {
      case TWO_PHASES -> "the expected savings exceed the cost";
      case DOES_NOT_PAY ->
          "the expected savings do not exceed the cost, or there are too few samples";
      case CLOSED -> "pruning is disabled after a failed audit";
      case ONE_PHASE_STORES ->
          "each shard of the query has a store that does not support first passes";
      default -> reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    };
  }
}

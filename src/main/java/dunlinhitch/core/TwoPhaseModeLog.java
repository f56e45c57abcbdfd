package dunlinhitch.core;

import dunlinhitch.twophase.TwoPhasePlan;
import dunlinhitch.twophase.TwoPhasePlanner;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Logs when the queries of a class change between one phase and two, and why; reasons that lie in a
 * single query are left out. Owned by the reducer; not thread-safe.
 */
final class TwoPhaseModeLog {
  /** The shortest time between two lines on one class, in microseconds. */
  private static final long MINIMUM_INTERVAL_US = 10_000_000;

  private record LoggedMode(TwoPhasePlan.Reason reason, long atUs) {}

  private final TurnContext context;
  private final TwoPhasePlanner planner;
  private final Map<String, LoggedMode> lastByClass = new HashMap<>();

  TwoPhaseModeLog(TurnContext context, TwoPhasePlanner planner) {
    this.context = context;
    this.planner = planner;
  }

  /** A query of that class was planned for that reason. */
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
            "%s goes in %s: %s (share of empty blocks %.2f, price of a first pass %.2f)",
            queryClass,
            reason == TwoPhasePlan.Reason.TWO_PHASES ? "two phases" : "one phase",
            describe(reason),
            statistics.emptyShare(),
            statistics.costRatio()));
  }

  private static String describe(TwoPhasePlan.Reason reason) {
    return switch (reason) {
      case TWO_PHASES -> "it pays";
      case DOES_NOT_PAY -> "it does not pay, or too little is known yet";
      case CLOSED -> "pruning is closed after an audit";
      case ONE_PHASE_STORES -> "a store of each of its blocks knows no first pass";
      default -> reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    };
  }
}

package dunlinhitch.experiments.simulation;

import java.util.List;

/**
 * The result of a simulated run.
 *
 * @param violation the first violated invariant, or null
 * @param servedWeight total weight of the served answers
 * @param offeredWeight total weight of the queries, without retries
 * @param steps number of scheduled tasks that ran
 * @param digest SHA-256 of the trace
 * @param trace the trace lines; empty unless requested
 */
public record SimulationResult(
    SimulationSchedule schedule,
    InvariantChecker.Violation violation,
    double servedWeight,
    double offeredWeight,
    long steps,
    String digest,
    List<String> trace) {
  /** Returns the served share of the offered weight, or 1 if no weight was offered. */
  public double share() {
    return offeredWeight == 0 ? 1 : servedWeight / offeredWeight;
  }
}

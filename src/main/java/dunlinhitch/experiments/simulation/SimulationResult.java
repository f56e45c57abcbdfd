package dunlinhitch.experiments.simulation;

import java.util.List;

/** The outcome of a day; {@code trace} is empty unless requested. */
public record SimulationResult(
    SimulatedDay day,
    InvariantChecker.Violation violation,
    double servedWeight,
    double offeredWeight,
    long steps,
    String digest,
    List<String> trace) {
  /** The share of the offered weight that was served; 1 where nothing was offered. */
  public double share() {
    return offeredWeight == 0 ? 1 : servedWeight / offeredWeight;
  }
}

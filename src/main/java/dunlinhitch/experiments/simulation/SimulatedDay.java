package dunlinhitch.experiments.simulation;

import java.util.List;

/**
 * The schedule of one simulated run.
 *
 * @param seed determines all random draws of the run
 * @param seconds duration of the load
 * @param queriesPerSecond mean query rate over all brokers
 * @param faults the faults to inject
 * @param defect the defect to inject at the edges of the brokers
 */
public record SimulatedDay(
    long seed, int seconds, double queriesPerSecond, List<Fault> faults, Defect defect) {
  /** Creates a schedule with an immutable copy of the faults. */
  public SimulatedDay {
    faults = List.copyOf(faults);
  }

  /** Returns a copy of this schedule with other faults. */
  SimulatedDay withFaults(List<Fault> others) {
    return new SimulatedDay(seed, seconds, queriesPerSecond, others, defect);
  }

  /** Returns a copy of this schedule with another duration and query rate. */
  SimulatedDay withLoad(int otherSeconds, double rate) {
    return new SimulatedDay(seed, otherSeconds, rate, faults, defect);
  }
}

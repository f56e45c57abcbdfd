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
public record SimulationSchedule(
    long seed, int seconds, double queriesPerSecond, List<Fault> faults, Defect defect) {
  /** Creates a schedule with an immutable copy of the faults. */
  public SimulationSchedule {
    faults = List.copyOf(faults);
  }

  /** Returns a copy of this schedule with other faults. */
  SimulationSchedule withFaults(List<Fault> others) {
    return new SimulationSchedule(seed, seconds, queriesPerSecond, others, defect);
  }

  /** Returns a copy of this schedule with another duration and query rate. */
  SimulationSchedule withLoad(int otherSeconds, double rate) {
    return new SimulationSchedule(seed, otherSeconds, rate, faults, defect);
  }
}

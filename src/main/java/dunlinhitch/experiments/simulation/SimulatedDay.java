package dunlinhitch.experiments.simulation;

import java.util.List;

/** A day to simulate; {@code queriesPerSecond} is the rate over all brokers. */
public record SimulatedDay(
    long seed, int seconds, double queriesPerSecond, List<Fault> faults, Defect defect) {
  /** Copies the faults. */
  public SimulatedDay {
    faults = List.copyOf(faults);
  }

  /** Returns the same day with other faults. */
  SimulatedDay withFaults(List<Fault> others) {
    return new SimulatedDay(seed, seconds, queriesPerSecond, others, defect);
  }

  /** Returns the same day with another duration and query rate. */
  SimulatedDay withLoad(int otherSeconds, double rate) {
    return new SimulatedDay(seed, otherSeconds, rate, faults, defect);
  }
}

/**
 * Deterministic discrete-event simulation: production reducers run on virtual time with injected
 * faults, and a checker verifies the required invariants. Entry points are {@link
 * dunlinhitch.experiments.simulation.SimulationCommands}, {@link
 * dunlinhitch.experiments.simulation.SimulationSchedules} and {@link
 * dunlinhitch.experiments.simulation.ScorerSimulation}. Code of this package opens no sockets,
 * reads no real clock and takes random numbers only from seeded generators; {@code serve} never
 * loads it.
 */
package dunlinhitch.experiments.simulation;

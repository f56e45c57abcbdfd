/**
 * Deterministic simulation of complete days: production reducers on virtual time with injected
 * faults and a checker of the required invariants. Entry points are {@link
 * dunlinhitch.experiments.simulation.SimCommands}, {@link dunlinhitch.experiments.simulation.Days}
 * and {@link dunlinhitch.experiments.simulation.ScorerWorld}. Code of this package opens no
 * sockets, reads no real clock and takes random numbers only from seeded generators; {@code serve}
 * never loads it.
 */
package dunlinhitch.experiments.simulation;

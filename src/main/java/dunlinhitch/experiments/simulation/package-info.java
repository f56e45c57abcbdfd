/** Simulated days: the core on virtual time, with seeded faults, and checkers of every rule. */
package dunlinhitch.experiments.simulation;

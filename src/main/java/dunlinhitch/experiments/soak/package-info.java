/**
 * Soak runs: broker processes under random faults that a seed determines, checked only by the
 * observations of clients, stores and the network between them.
 *
 * <p>Entry points: {@link dunlinhitch.experiments.soak.SoakCommand}; {@link
 * dunlinhitch.experiments.soak.SoakRun} executes one {@link dunlinhitch.experiments.soak.SoakPlan},
 * {@link dunlinhitch.experiments.soak.SoakChecker} checks its observations.
 */
package dunlinhitch.experiments.soak;

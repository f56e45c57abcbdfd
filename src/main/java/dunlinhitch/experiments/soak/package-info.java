/**
 * Soak runs: processes of the real program under faults that are drawn from a seed, judged only by
 * what clients, stores and the network between them saw.
 *
 * <p>Entry points: {@link dunlinhitch.experiments.soak.SoakCommand}; {@link
 * dunlinhitch.experiments.soak.SoakRun} plays one {@link dunlinhitch.experiments.soak.SoakPlan},
 * {@link dunlinhitch.experiments.soak.SoakChecker} judges its observations.
 */
package dunlinhitch.experiments.soak;

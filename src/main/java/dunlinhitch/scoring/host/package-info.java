/**
 * Loads scorers from jar files and runs them on dedicated threads outside the event loop, with a
 * time limit and a circuit breaker.
 *
 * <p>Entry point: {@link dunlinhitch.scoring.host.ScorerHost}. Only {@code ScorerThread} may run
 * code of a plug-in, and no other thread may wait for it without a timeout.
 */
package dunlinhitch.scoring.host;

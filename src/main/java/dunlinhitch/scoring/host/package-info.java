/**
 * Loads scorers from jar files and runs them on threads of their own, beside the event loop, under
 * a time limit and a circuit breaker.
 *
 * <p>Entry point: {@link dunlinhitch.scoring.host.ScorerHost}. Only {@code ScorerThread} may run
 * code of a plug-in, and nothing may wait for it without a timeout.
 */
package dunlinhitch.scoring.host;

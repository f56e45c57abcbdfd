/**
 * Loads scorers from jar files and runs them on threads of their own, beside the event loop, under
 * a time limit and a circuit breaker.
 *
 * <p>Entry point: {@link dunlinhitch.scoring.host.ScorerHost}.
 */
package dunlinhitch.scoring.host;

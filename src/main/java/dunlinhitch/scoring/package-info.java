/**
 * Plug-in scorers: collects their input, validates and damps their output, and replicates the
 * weights that they assign to endpoints.
 *
 * <p>Entry point: {@link dunlinhitch.scoring.Scoring}; {@link dunlinhitch.scoring.CircuitBreaker}
 * and {@link dunlinhitch.scoring.EjectionNotices} decide whether a scorer is called. Uses no clock,
 * I/O or threads; {@code scoring.host} runs the plug-ins. The {@code serve} command does not use
 * this package yet.
 */
package dunlinhitch.scoring;

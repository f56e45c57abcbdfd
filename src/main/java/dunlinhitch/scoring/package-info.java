/**
 * Plug-in scorers: collects their input, validates and damps their output, and replicates the
 * weights that they give to endpoints.
 *
 * <p>Entry point: {@link dunlinhitch.scoring.Scoring}; {@link dunlinhitch.scoring.CircuitBreaker}
 * and {@link dunlinhitch.scoring.EjectionNotices} decide whether a scorer is called. Pure: no
 * clock, I/O or threads; {@code scoring.host} runs the plug-ins. {@code serve} does not call it
 * yet.
 */
package dunlinhitch.scoring;

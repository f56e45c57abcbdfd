/**
 * Scorers that are plugged in: checks, damping and sharing of the weights that they give to
 * endpoints.
 *
 * <p>Entry point: {@link dunlinhitch.scoring.Scoring}. Pure: no clock, I/O or threads; {@code
 * scoring.host} runs the plug-ins. {@code serve} does not call it yet.
 */
package dunlinhitch.scoring;

/**
 * Fakes of what a broker talks to: stores over frames and Arrow Flight, discovery, and clients of
 * both frontends.
 */
package dunlinhitch.experiments.fakes;

/**
 * Fakes of the systems that a broker communicates with: stores with the frame protocol and Arrow
 * Flight, discovery, and clients of both frontends.
 */
package dunlinhitch.experiments.fakes;

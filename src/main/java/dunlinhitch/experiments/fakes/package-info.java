/**
 * Fakes of the systems that a broker communicates with: stores (frame protocol and Arrow Flight),
 * the discovery service, and clients of both frontends.
 */
package dunlinhitch.experiments.fakes;

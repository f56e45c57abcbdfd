/**
 * The Arrow Flight frontend.
 *
 * <p>Entry point: {@link dunlinhitch.frontend.flight.FlightFrontend}. It is loaded only if the
 * configuration has a Flight address, so no code on the ordinary start-up path may refer to it.
 */
package dunlinhitch.frontend.flight;

/**
 * The Arrow Flight frontend.
 *
 * <p>Entry point: {@link dunlinhitch.frontend.flight.FlightFrontend}. It is loaded only where the
 * configuration has a Flight address, so nothing on the ordinary start-up path may refer to it.
 */
package dunlinhitch.frontend.flight;

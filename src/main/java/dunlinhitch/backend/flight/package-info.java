/**
 * Transport for stores that speak Arrow Flight.
 *
 * <p>Entry point: {@link dunlinhitch.backend.flight.FlightTransports}. The classes of this package
 * are loaded only if a store is reached over Flight, so no code on the ordinary start-up path may
 * refer to them. Blocking Flight calls run on threads of this package; their results return to the
 * event loop before they become events.
 */
package dunlinhitch.backend.flight;

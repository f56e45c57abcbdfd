/**
 * Transport for stores that speak Arrow Flight.
 *
 * <p>Entry point: {@link dunlinhitch.backend.flight.FlightStores}. The classes of this package are
 * loaded only where a store is reached over Flight, so nothing outside may refer to them on the
 * ordinary start-up path. Blocking Flight calls run on threads of this package; their results
 * return to the event loop before they become events.
 */
package dunlinhitch.backend.flight;

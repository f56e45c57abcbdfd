/** Tests of the transport for stores that speak Arrow Flight. */
package dunlinhitch.backend.flight;

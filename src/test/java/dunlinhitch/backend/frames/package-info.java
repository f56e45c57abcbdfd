/** Tests of the transport for stores that speak frames. */
package dunlinhitch.backend.frames;

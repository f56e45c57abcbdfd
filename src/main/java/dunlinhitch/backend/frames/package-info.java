/**
 * Transport for stores that speak the length-prefixed frame protocol.
 *
 * <p>Entry point: {@link dunlinhitch.backend.frames.FrameTransport}. All code of this package runs
 * on the event loop and must not block.
 */
package dunlinhitch.backend.frames;

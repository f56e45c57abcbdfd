/**
 * Transport for stores that speak the length-prefixed frame protocol.
 *
 * <p>Entry point: {@link dunlinhitch.backend.frames.FrameTransport}. Everything here runs on the
 * event loop; nothing here may block.
 */
package dunlinhitch.backend.frames;

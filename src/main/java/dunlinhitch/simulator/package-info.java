/**
 * Adapter between the load balancer and the simulator's binary protocol on standard input and
 * output.
 *
 * <p>Entry point: {@link dunlinhitch.simulator.SimulatorAdapter#serve()}. A batch frame carries
 * records for any number of balancer instances; each is answered by one reply frame. Byte layouts
 * are defined by the simulator's protocol description and are little-endian.
 *
 * <p>The package depends only on the balancer and the settings reader. All code runs on the calling
 * thread, without network access; the only clock is the time in the frames.
 */
package dunlinhitch.simulator;

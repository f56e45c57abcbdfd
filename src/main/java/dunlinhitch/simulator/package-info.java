/**
 * Adapter between the load balancer and the simulator's binary protocol on standard input and
 * output.
 *
 * <p>Entry point: {@link dunlinhitch.simulator.SimulatorAdapter#serve()}. A batch frame carries
 * records for any number of balancer instances; each is answered by one reply frame. Byte layouts
 * are fixed by the simulator's protocol description and are little-endian.
 *
 * <p>The package uses the balancer and the settings reader only. Everything runs on the calling
 * thread; there are no other threads, no network and no clock but that of the frames.
 */
package dunlinhitch.simulator;

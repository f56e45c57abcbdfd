/**
 * The state machine of a broker. Edges hand what they read to {@link dunlinhitch.core.Reducer} as
 * {@link dunlinhitch.core.Event}s, one turn at a time, and carry out the {@link
 * dunlinhitch.core.Effect}s that it returns. Each concern has a stage of its own: queries,
 * attempts, health checks, the second step, two phases, endpoints, the cluster, operators' calls,
 * configuration and lifecycle.
 *
 * <p>Everything here runs on the thread of the event loop that owns the reducer. Apart from {@link
 * dunlinhitch.core.MicroClock}, which edges read, nothing here reads a clock, does I/O, starts
 * threads or depends on a library; packages of edges must not be imported.
 */
package dunlinhitch.core;

/**
 * The state machine of a broker. Edges, which are the frontends, the backend connections and the
 * other code that does I/O, pass their input to {@link dunlinhitch.core.Reducer} as {@link
 * dunlinhitch.core.Event}s, one turn at a time, and carry out the {@link dunlinhitch.core.Effect}s
 * that it returns. Each concern has its own stage: queries, attempts, health checks, second steps,
 * two-phase execution, endpoints, the cluster, operator calls, configuration and lifecycle.
 *
 * <p>All code in this package runs on the thread of the event loop that owns the reducer. Apart
 * from {@link dunlinhitch.core.MicroClock}, which is read by edges, the package reads no clock,
 * does no I/O, starts no threads and depends on no library. It must not import the packages of
 * edges.
 */
package dunlinhitch.core;

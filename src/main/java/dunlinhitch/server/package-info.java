/**
 * One process that serves: {@link dunlinhitch.server.Broker} wires the reducer to its frontends,
 * backends, endpoint sources and cluster, {@link dunlinhitch.server.ReducerLoop} runs the reducer
 * in turns, and {@link dunlinhitch.server.WarmUp} compiles the hot paths before clients are
 * accepted.
 *
 * <p>Everything here runs on the one event loop of the broker unless a method says otherwise. The
 * package makes no decisions about queries or endpoints; those belong to the reducer. Classes of
 * optional features (Arrow Flight, DNS, cluster gossip) stay unloaded until the configuration
 * switches the feature on, so lambdas here must not capture or take values of their types.
 */
package dunlinhitch.server;

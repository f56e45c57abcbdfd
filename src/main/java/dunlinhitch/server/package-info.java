/**
 * The broker process: {@link dunlinhitch.server.Broker} wires the reducer to its frontends,
 * backends, endpoint sources and cluster, {@link dunlinhitch.server.ReducerLoop} runs the reducer
 * in turns, and {@link dunlinhitch.server.WarmUp} compiles the hot paths before clients are
 * accepted.
 *
 * <p>Everything runs on the broker's event loop unless a method states otherwise. The reducer, not
 * this package, makes the decisions about queries and endpoints. Classes of optional features
 * (Arrow Flight, DNS, cluster gossip) stay unloaded until the configuration switches the feature
 * on, so lambdas in this package must not capture or take values of their types.
 */
package dunlinhitch.server;

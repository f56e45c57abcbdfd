/**
 * The client side of the broker: accepting connections, parsing queries, writing responses and
 * shutting down gracefully.
 *
 * <p>Entry points: {@link dunlinhitch.frontend.Frontend} is the interface that each protocol
 * implements ({@code http}, {@code flight}); {@link dunlinhitch.frontend.Exchanges} connects a
 * query with its response; {@link dunlinhitch.frontend.GracefulShutdown} is the state machine of a
 * frontend's shutdown.
 *
 * <p>This package converts bytes into events and responses into bytes. All decisions about queries
 * are made by the reducer.
 */
package dunlinhitch.frontend;

/**
 * Where clients connect: accepting connections, parsing queries, writing responses and shutting
 * down gracefully.
 *
 * <p>Entry points: {@link dunlinhitch.frontend.Frontend} is what each protocol implements ({@code
 * http}, {@code flight}); {@link dunlinhitch.frontend.Exchanges} connects a query with its
 * response; {@link dunlinhitch.frontend.GracefulShutdown} is the state machine of the end of a
 * frontend.
 *
 * <p>This package turns bytes into events and responses into bytes. It decides nothing about a
 * query, which is the business of the reducer.
 */
package dunlinhitch.frontend;

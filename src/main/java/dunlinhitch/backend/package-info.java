/**
 * Connections from this broker to the stores.
 *
 * <p>Entry points: {@link dunlinhitch.backend.Backends} executes the effects of the reducer against
 * the transport of the addressed store; {@link dunlinhitch.backend.BackendTransport} is the
 * interface that each protocol implements ({@code frames}, {@code flight}).
 *
 * <p>This package converts effects into bytes and bytes into events. The reducer decides which
 * store gets a request and when an attempt is retried or cancelled. Everything runs on the event
 * loop unless a class states otherwise.
 */
package dunlinhitch.backend;

/**
 * The HTTP/1.1 frontend.
 *
 * <p>Entry points: {@link dunlinhitch.frontend.http.HttpFrontend} and {@link
 * dunlinhitch.frontend.http.ClientListener}, the socket that it accepts from. Everything runs on
 * the event loop, except accepting connections, which runs on a separate thread.
 */
package dunlinhitch.frontend.http;

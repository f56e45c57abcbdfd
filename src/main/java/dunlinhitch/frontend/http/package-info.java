/**
 * The HTTP/1.1 frontend.
 *
 * <p>Entry points: {@link dunlinhitch.frontend.http.HttpFrontend} and {@link
 * dunlinhitch.frontend.http.ClientListener}, the socket that it accepts from. Everything runs on
 * the event loop, but for accepting, which has a thread of its own.
 */
package dunlinhitch.frontend.http;

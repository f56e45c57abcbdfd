/** Tests of the HTTP frontend and of its client connections. */
package dunlinhitch.frontend.http;

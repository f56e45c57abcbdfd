/** End-to-end tests of a broker on real sockets, with emulated clients, backends and discovery. */
package dunlinhitch.server;

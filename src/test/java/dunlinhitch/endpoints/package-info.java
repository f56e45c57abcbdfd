/** Tests of the endpoint registry and of the timing wheel. */
package dunlinhitch.endpoints;

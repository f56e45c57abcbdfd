/** Tests of the commands, most of them in a separate process. */
package dunlinhitch.cli;

/** Tests of the commands, most of them on a process of their own. */
package dunlinhitch.cli;

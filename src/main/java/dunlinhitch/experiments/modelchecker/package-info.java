/**
 * A model checker: runs modules of three brokers through every order of messages and faults, up to
 * a depth.
 */
package dunlinhitch.experiments.modelchecker;

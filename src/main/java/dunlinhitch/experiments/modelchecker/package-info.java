/**
 * An explicit-state model checker: explores the states of a module that runs in three brokers,
 * under all orders of messages and faults, up to a depth. Entry points are {@link
 * dunlinhitch.experiments.modelchecker.ExploreCommand} and {@link
 * dunlinhitch.experiments.modelchecker.Explorer}. The package opens no sockets and reads the real
 * clock only to print the duration of an exploration; {@code serve} never loads it.
 */
package dunlinhitch.experiments.modelchecker;

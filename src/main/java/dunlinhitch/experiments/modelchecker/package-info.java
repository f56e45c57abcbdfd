/**
 * An explicit-state model checker: explores modules of three brokers under all orders of messages
 * and faults up to a depth. Entry points are {@link
 * dunlinhitch.experiments.modelchecker.ExploreCommand} and {@link
 * dunlinhitch.experiments.modelchecker.Explorer}. The package opens no sockets and reads no real
 * clock beyond the duration that the command prints; {@code serve} never loads it.
 */
package dunlinhitch.experiments.modelchecker;

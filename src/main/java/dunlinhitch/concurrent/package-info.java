/**
 * Classes for the safe hand-off of objects between the threads of a broker.
 *
 * <p>Every class is thread-safe and linearizable; the tests check interleavings of two threads with
 * a model checker. This package depends only on the JDK, reads no clock and starts no threads.
 */
package dunlinhitch.concurrent;

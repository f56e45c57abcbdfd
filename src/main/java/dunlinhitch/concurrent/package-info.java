/**
 * Hand-off of objects between threads: the few places of the broker where two threads meet.
 *
 * <p>Every class here is thread-safe and linearizable; the tests check all interleavings of two
 * threads with a model checker. This package depends on nothing but the JDK, reads no clock and
 * starts no threads.
 */
package dunlinhitch.concurrent;

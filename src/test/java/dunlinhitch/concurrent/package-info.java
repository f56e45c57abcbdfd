/** Tests of the hand-off of objects between threads. */
package dunlinhitch.concurrent;

/**
 * The interface that a scorer implements, version 1. It stands alone: a plug-in is compiled against
 * this package and the JDK only, and so is everything in it.
 */
package dunlinhitch.scoring.api;

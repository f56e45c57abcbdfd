/**
 * Scorers that come with the broker. They know the scorer interface and the JDK only, as any other
 * plug-in does.
 */
package dunlinhitch.scoring.shipped;

/**
 * The scorers that ship with the broker.
 *
 * <p>Entry points: the classes named in {@code META-INF/services}. They may import the scorer
 * interface and the JDK only, like any other plug-in.
 */
package dunlinhitch.scoring.shipped;

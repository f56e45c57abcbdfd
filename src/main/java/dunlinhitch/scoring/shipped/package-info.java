/**
 * The scorers that are shipped with the broker.
 *
 * <p>Entry points: the classes listed in {@code META-INF/services}. Like any other plug-in, they
 * may import only the scorer interface and the JDK.
 */
package dunlinhitch.scoring.shipped;

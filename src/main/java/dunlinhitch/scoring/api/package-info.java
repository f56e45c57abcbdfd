/**
 * The published interface of scorers, version 1.
 *
 * <p>Entry point: {@link dunlinhitch.scoring.api.Scorer}. A plug-in is compiled against this
 * package and the JDK only; the package itself must not import anything else.
 */
package dunlinhitch.scoring.api;

/**
 * Version skew among the brokers of a cluster. Entry points: {@link
 * dunlinhitch.cluster.versions.VersionVector}, which brokers announce to each other, and {@link
 * dunlinhitch.cluster.versions.VersionSkewDetector}, which finds outdated brokers.
 *
 * <p>Pure code: no clock, I/O or threads, and no use of other packages of the project.
 */
package dunlinhitch.cluster.versions;

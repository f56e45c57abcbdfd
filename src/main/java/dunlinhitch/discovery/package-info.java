/**
 * Discovery: where the lists of endpoints come from.
 *
 * <p>Entry points: {@link dunlinhitch.discovery.DiscoverySource}, the interface of all sources;
 * {@link dunlinhitch.discovery.DiscoveryWatch}, which follows the discovery service over HTTP;
 * {@link dunlinhitch.discovery.EndpointListReader}, which reads its lists; and {@link
 * dunlinhitch.discovery.EndpointListFile}, the last known claims on disk. {@code WatchStateMachine}
 * decides when the watch sends requests and which are given up; it and {@code Backoff} are pure: no
 * clock, I/O or threads.
 *
 * <p>Of the project this package may use {@code core}, {@code endpoints} and {@code balancer}. It
 * reports by events and never changes the endpoint list itself.
 */
package dunlinhitch.discovery;

/**
 * Discovery of endpoints.
 *
 * <p>Entry points: {@link dunlinhitch.discovery.DiscoverySource}, the interface of all sources;
 * {@link dunlinhitch.discovery.DiscoveryWatch}, which follows the discovery service over HTTP;
 * {@link dunlinhitch.discovery.EndpointListReader}, which reads its lists; and {@link
 * dunlinhitch.discovery.EndpointListFile}, which stores the last known claims. {@code
 * WatchStateMachine} decides when the watch sends and abandons requests; it and {@code Backoff} use
 * no clock, I/O or threads.
 *
 * <p>This package may depend on the packages {@code core}, {@code endpoints} and {@code balancer}
 * only. It reports changes as events and never modifies the endpoint list itself.
 */
package dunlinhitch.discovery;

/**
 * The load balancer of one broker: which replica gets each part of a query, when a part is retried
 * or hedged, and when a query is rejected.
 *
 * <p>Entry points: {@link dunlinhitch.balancer.LoadBalancer}, the events it takes ({@link
 * dunlinhitch.balancer.BalancerEvent}) and the actions it calls ({@link
 * dunlinhitch.balancer.BalancerActions}). All other classes are internal to it: estimators collect
 * statistics and make no decisions; the classes that decide read the estimators.
 *
 * <p>The package uses no clock, I/O, threads or libraries, and imports only its own subpackages and
 * the JDK. Its classes are not thread-safe.
 */
package dunlinhitch.balancer;

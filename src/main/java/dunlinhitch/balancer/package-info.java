/**
 * The load balancer of one broker: which replica gets each part of a query, when a part is retried
 * or hedged, and when a query is rejected.
 *
 * <p>Entry points: {@link dunlinhitch.balancer.LoadBalancer}, the events it takes ({@link
 * dunlinhitch.balancer.BalancerEvent}) and the actions it calls ({@link
 * dunlinhitch.balancer.BalancerActions}). All other classes are parts of the facade; estimators
 * learn and decide nothing, decisions read the estimators.
 *
 * <p>The package is pure: no clock, I/O, threads or libraries, and no import from other packages
 * than its own. Its classes are not thread-safe.
 */
package dunlinhitch.balancer;

/**
 * The list of endpoints (replicas of stores) that the claims of all discovery sources amount to.
 *
 * <p>Entry point: {@link dunlinhitch.endpoints.EndpointRegistry}, which takes {@link
 * dunlinhitch.endpoints.EndpointClaim}s and returns {@link dunlinhitch.endpoints.EndpointChange}s.
 * Behind it {@code ClaimTable} and {@code ClaimExpiry} have the claims in force, {@code
 * ClaimEvaluator} and {@code ClaimConflicts} weigh them, {@code StatusUpdater} and {@code
 * FlapDamping} set the status, {@code ShardCoverage} chooses stand-ins, and {@code ChangePublisher}
 * says what has changed. {@link dunlinhitch.endpoints.TimingWheel} is of use on its own.
 *
 * <p>Pure: no clock, I/O, threads or libraries; of the project it may use {@code balancer} alone.
 * All times are microseconds.
 */
package dunlinhitch.endpoints;

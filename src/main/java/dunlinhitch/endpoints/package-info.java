/**
 * The list of endpoints (replicas of stores), merged from the claims of all discovery sources.
 *
 * <p>Entry point: {@link dunlinhitch.endpoints.EndpointRegistry}, which takes {@link
 * dunlinhitch.endpoints.EndpointClaim}s and returns {@link dunlinhitch.endpoints.EndpointChange}s.
 * Internally, {@code ClaimTable} and {@code ClaimExpiry} manage the claims in force, {@code
 * ClaimEvaluator} and {@code ClaimConflicts} combine them, {@code StatusUpdater} and {@code
 * FlapDamping} set the status, {@code ShardCoverage} chooses stand-ins, and {@code ChangePublisher}
 * derives the changes. {@link dunlinhitch.endpoints.TimingWheel} can be used on its own.
 *
 * <p>Pure: no clock, I/O, threads or libraries; {@code balancer} is the only package of the project
 * that it may use. All times are microseconds.
 */
package dunlinhitch.endpoints;

/**
 * The list of endpoints (replicas of stores), merged from the claims of all discovery sources.
 *
 * <p>Entry point: {@link dunlinhitch.endpoints.EndpointRegistry}, which takes {@link
 * dunlinhitch.endpoints.EndpointClaim}s and returns {@link dunlinhitch.endpoints.EndpointChange}s.
 * Internally, {@code ClaimTable} and {@code ClaimExpiry} manage the active claims, {@code
 * ClaimEvaluator} and {@code ClaimConflicts} combine them, {@code StatusUpdater} and {@code
 * FlapDamping} set the status, {@code ShardCoverage} selects substitutes for shards that are not
 * served, and {@code ChangePublisher} derives the changes. {@link
 * dunlinhitch.endpoints.TimingWheel} can be used independently.
 *
 * <p>Pure: no clock, I/O, threads or libraries. The only other package of the project that this
 * package may use is {@code balancer}. All times are microseconds.
 */
package dunlinhitch.endpoints;

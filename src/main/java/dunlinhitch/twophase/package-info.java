/**
 * Two-phase query execution: whether a query first asks each shard cheaply for its number of
 * matching records, and which shards can be pruned from the full pass on the strength of those
 * answers.
 *
 * <p>Entry points: {@link dunlinhitch.twophase.TwoPhasePlanner} decides, {@link
 * dunlinhitch.twophase.TwoPhasePlan} is the decision for one query, and {@link
 * dunlinhitch.twophase.TwoPhaseSettings} configures one query class.
 *
 * <p>The package is pure: it has no clock, I/O or threads, imports no other package of the project
 * and is owned by the reducer's thread. All times are microseconds on one monotonic clock.
 */
package dunlinhitch.twophase;

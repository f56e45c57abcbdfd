/**
 * Two-phase query execution. A cheap first pass asks shards for their number of matching records,
 * and shards without any are pruned from the full pass. This package decides which queries have a
 * first pass and which shards are pruned.
 *
 * <p>Entry points: {@link dunlinhitch.twophase.TwoPhasePlanner} decides, {@link
 * dunlinhitch.twophase.TwoPhasePlan} is the decision for one query, and {@link
 * dunlinhitch.twophase.TwoPhaseSettings} configures one query class.
 *
 * <p>The package uses no clock, I/O or threads and imports no other package of the project. Its
 * objects are owned by the reducer's thread. All times are in microseconds on one monotonic clock.
 */
package dunlinhitch.twophase;

/**
 * Coordination among brokers: the membership protocol, the assignment of endpoints and duties to
 * brokers, and the replicated map in which they share state. Entry points: {@link
 * dunlinhitch.cluster.ClusterCoordinator}, {@link dunlinhitch.cluster.MembershipProtocol} and
 * {@link dunlinhitch.cluster.ReplicatedMap}.
 *
 * <p>Pure code: the input is events and times, the output is messages and decisions. This package
 * does no I/O, reads no clock, starts no threads, and uses no other package of the project except
 * {@link dunlinhitch.cluster.versions}; messages are encoded and sent in {@code cluster.gossip}.
 */
package dunlinhitch.cluster;

/**
 * Exchange of gossip messages between brokers over UDP.
 *
 * <p>Entry points: {@link dunlinhitch.cluster.gossip.GossipSocket} sends and receives on the event
 * loop; {@link dunlinhitch.cluster.gossip.AddressBook} says with whom. The codec ({@code
 * GossipEncoder}, {@code GossipDecoder}) is pure.
 *
 * <p>This package turns messages into datagrams and datagrams into events. It decides nothing about
 * membership, which is the business of {@code dunlinhitch.cluster}. A change of the encoding needs
 * a new version in {@code WireFormat}: brokers of two versions run side by side during an upgrade.
 */
package dunlinhitch.cluster.gossip;

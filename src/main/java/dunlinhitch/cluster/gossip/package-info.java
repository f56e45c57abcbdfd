/**
 * Exchange of gossip messages between brokers over UDP.
 *
 * <p>Entry points: {@link dunlinhitch.cluster.gossip.GossipSocket} sends and receives on the event
 * loop; {@link dunlinhitch.cluster.gossip.AddressBook} determines the permitted addresses. The
 * codec ({@code GossipEncoder}, {@code GossipDecoder}) is pure.
 *
 * <p>This package encodes messages as datagrams and decodes datagrams into events. Decisions about
 * membership are made in {@code dunlinhitch.cluster}. A change of the encoding requires a new
 * version in {@code WireFormat}, because brokers of two versions run side by side during an
 * upgrade.
 */
package dunlinhitch.cluster.gossip;

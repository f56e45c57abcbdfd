/** Tests of the gossip codec and of its UDP socket. */
package dunlinhitch.cluster.gossip;
